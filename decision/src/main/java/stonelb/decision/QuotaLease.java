package stonelb.decision;

import java.util.SplittableRandom;

/**
 * One customer's lease: units of its quota, which this gateway takes from the shared counter in blocks before
 * they are used. If the counter is unresponsive or absent, the gateway uses its share of the quota instead.
 */
record QuotaLease(
        SplittableRandom random,
        QuotaTerms terms,
        CounterHealth counter,
        CounterAccount account,
        SharedQuota quota,
        CeilingBudget ceiling,
        InFlightCap inFlightCap,
        LeaseBalance balance,
        TokenBucket localShare) {
    private static final double TOLERANCE = QuotaTerms.UNIT_TOLERANCE;
    private static final double IDLE_TIMEOUT_MS = 60_000; // without a request
    private static final double BLOCK_MS = 500; // a block lasts about this long at the current usage
    private static final double USAGE_WEIGHT = 0.2; // with USAGE_DECAY_MS, a mean over about five blocks
    private static final double USAGE_DECAY_MS = 5 * BLOCK_MS;
    private static final double SIZE_WEIGHT = 0.3;
    private static final double MIN_RETRY_AFTER_MS = 1;

    private double shareCapacity() {
        return Math.max(terms.burstShare(), balance.meanUnits());
    }

    /**
     * Whether this gateway's share of the burst is less than two requests. Then each is counted before it is
     * admitted, as blocks would stay unused at many gateways. If the quota is spent, the units stay reserved
     * for the next request here, which may use them once the quota has been refilled by as many.
     */
    boolean countsEachRequest() {
        return terms.plan().hasRate() && terms.burstShare() < 2 * balance.meanUnits();
    }

    private boolean covers(double units) {
        return balance.unspent() >= units - TOLERANCE;
    }

    private boolean isLeased(double units) {
        return terms.leasesUnderCeiling() && covers(units) && balance.refreshedAtMs() >= balance.usableAtMs();
    }

    private void refresh(double now) {
        double elapsedMs = balance.refresh(now);
        if (countsEachRequest() && now - balance.usableAtMs() > terms.fillMs()) { // the quota is full again
            balance.dropUnspent();
        }
        balance.decayUsage(Math.exp(-elapsedMs / USAGE_DECAY_MS));
        ceiling.refill(now, elapsedMs);
        localShare.refill(terms.rate() / terms.spread(), elapsedMs, shareCapacity());
    }

    /** Decides on a request; {@code mayWait} permits holding it until the counter has answered. */
    Admission admit(double now, AdmissionRequest request, boolean mayWait) {
        refresh(now);
        double units = terms.plan().chargedUnits(request);
        boolean capped = !isLeased(units) && !ceiling.allows(request.units());
        if (capped && !terms.leasesUnderCeiling()) {
            return new Admission(ceiling.retryAfterMs(request.units()));
        }
        if (terms.admitsAll()) {
            return Admission.ADMIT;
        }
        if (!terms.reportsInFlight() && covers(units)) {
            return new Admission(Math.max(0, balance.usableAtMs() - now));
        }
        double missingMs = (units - balance.unspent()) / terms.rate() * QuotaTerms.MS_PER_SECOND;
        Admission reject = new Admission(Math.max(MIN_RETRY_AFTER_MS, missingMs));
        if (inFlightCap.isReached()) {
            return reject;
        }
        if (terms.reportsInFlight()) {
            return Admission.ADMIT;
        }
        boolean withinShare = localShare.tokens() >= Math.min(units, shareCapacity()) - TOLERANCE;
        Admission fallback = withinShare && !capped ? Admission.ADMIT : reject;
        if (counter.isUnresponsive() || !counter.settings().present()) {
            requestBlock(now, units); // shows when the counter responds again
            return fallback;
        }
        return countsEachRequest()
                ? countFirst(now, units, fallback, mayWait)
                : admitByQuota(now, units, capped, fallback, reject, mayWait);
    }

    /** Counts a request before it is admitted. If the counter is overloaded, some are admitted uncounted. */
    private Admission countFirst(double now, double units, Admission fallback, boolean mayWait) {
        boolean mayAdmit = fallback.isAdmitted() && !quota.wasOverdrawn(now);
        if (mayAdmit && random.nextDouble() * counter.state().batch() >= 1) {
            return Admission.ADMIT;
        }
        if (mayWait && !account.isQuerying()) {
            quota.moveToWindow(now);
            account.query(Math.max(0, units - balance.unspent() - account.unconfirmed()));
        }
        return mayWait ? Admission.HOLD : fallback;
    }

    private Admission admitByQuota(
            double now, double units, boolean capped, Admission fallback, Admission reject, boolean mayWait) {
        double unspent = balance.unspent();
        if (!quota.isFresh(now)) {
            // This gateway's share of the burst is admitted. A block also covers requests that were
            // admitted without a call, as the counter can't handle a call for each.
            if (!capped && unspent + terms.burstShare() >= units) {
                return Admission.ADMIT;
            }
            return mayWait && ensureBlockRequested(now, units - unspent) ? Admission.HOLD : fallback;
        }
        double available = quota.available(now);
        double credit = available * Math.max(1.0 / terms.spread(), available / terms.burst());
        if (!capped && unspent + credit >= units - TOLERANCE) {
            return Admission.ADMIT;
        }
        // Without a call, a debt would never be paid off.
        boolean requested = available >= balance.meanUnits() && ensureBlockRequested(now, units - unspent);
        return requested && capped && mayWait ? Admission.HOLD : reject;
    }

    private boolean ensureBlockRequested(double now, double missingUnits) {
        return account.isQuerying() || requestBlock(now, missingUnits);
    }

    /**
     * Requests the next block: at once if it will soon be used here, else with the probability that makes
     * the blocks of all gateways add up to their usage. A call per request would overload the counter.
     */
    private boolean requestBlock(double now, double missingUnits) {
        boolean unresponsive = counter.isUnresponsive();
        boolean mayCall =
                unresponsive ? counter.mayCall(now) : counter.settings().present();
        if (account.isQuerying() || !mayCall) {
            return false;
        }
        boolean underCeiling = terms.leasesUnderCeiling();
        double minBlock = (underCeiling ? 1 : counter.state().batch()) * balance.meanUnits();
        double need = Math.min(balance.unitsPerMs() * BLOCK_MS, quota.available(now) / (2 * terms.spread()));
        double block = Math.max(minBlock, need);
        double amount = Math.max(0, -balance.unspent()) + block;
        boolean spent = quota.isSpent(now, balance.meanUnits());
        if (need < minBlock
                && !spent
                && !unresponsive
                && (underCeiling ? missingUnits < TOLERANCE : random.nextDouble() * amount >= missingUnits)) {
            return false;
        }
        quota.moveToWindow(now);
        balance.setLastBlock(block);
        account.query(spent || unresponsive ? 0 : Math.max(0, amount - account.unconfirmed()));
        return true;
    }

    /** Charges an admitted request's units, and requests the next block before the current one is used up. */
    void take(double now, AdmissionRequest request) {
        double units = terms.plan().chargedUnits(request);
        if (!isLeased(units)) {
            ceiling.bucket().take(request.units());
        }
        balance.recordUsage(units, units / BLOCK_MS * USAGE_WEIGHT, SIZE_WEIGHT);
        if (terms.reportsInFlight()) {
            inFlightCap.peak().attemptAdmitted();
            inFlightCap.report(now);
            return;
        }
        localShare.takeAvailable(units);
        if (!counter.isUnresponsive() || balance.unspent() >= units) { // else the local share covered it
            balance.add(-units);
        }
        if (!countsEachRequest() && balance.unspent() <= balance.lastBlock() / 4 && !terms.admitsAll()) {
            requestBlock(now, -balance.unspent());
        }
    }

    /** Whether a request that was already held may be held again for another call. */
    boolean mayHoldAgain(Outcome outcome) {
        return outcome == Outcome.OK && (terms.leasesUnderCeiling() || countsEachRequest());
    }

    /** Handles the answer to the oldest call; returns whether requests held for it can be decided on. */
    boolean counterAnswered(double now, long name, Outcome outcome, double total) {
        if (!account.callAnswered()) {
            quota.adjustmentAnswered(now, outcome, total);
            return false;
        }
        balance.setUsableAt(now);
        refresh(now);
        if (outcome == Outcome.TIMEOUT || outcome == Outcome.RESET) {
            queryLost(account.queriedAmount());
        } else if (outcome == Outcome.OK && account.isCurrent(name)) {
            totalReceived(now, account.queriedAmount(), total);
        }
        return true;
    }

    /** Treats the amount as added: an overloaded counter adds it late, or its response was lost. */
    private void queryLost(double amount) {
        if (terms.leasesUnderCeiling()) { // until a total confirms it, it can only repay a debt
            account.addUnconfirmed(Math.max(0, amount + Math.min(balance.unspent(), 0)));
            balance.payDebt(amount);
        } else {
            balance.add(amount);
        }
        inFlightCap.peak().setInFlightElsewhere(terms.plan().maxInFlight()); // leaves this gateway its share
    }

    private void totalReceived(double now, double amount, double total) {
        if (terms.reportsInFlight()) {
            inFlightCap.peak().reportAdded(amount, total);
            return;
        }
        double confirmed = Math.max(0, Math.min(account.unconfirmed(), account.addedByOthers(total)));
        balance.add(Math.max(0, amount) + confirmed); // a negative amount was deducted before the call
        quota.totalReceived(now, total, balance.meanUnits());
        if (countsEachRequest()) {
            balance.setUsableAt(balance.usableAtMs() + quota.debtRepaymentMs(now));
            return;
        }
        // Requests admitted beyond the quota use none of its units: those counted for them are returned.
        double batched = (terms.leasesUnderCeiling() ? 0 : counter.state().batch() - 1) * balance.meanUnits();
        double surplus = Math.min(amount, -quota.estimate().units() - batched);
        if (surplus > TOLERANCE) {
            balance.returnUnits(surplus);
            account.query(-surplus);
        }
    }

    /** Closes the lease if it is unused; returns whether it did. */
    boolean closeIfIdle(double now, boolean hasWaiting) {
        inFlightCap.report(now);
        boolean busy = hasWaiting || inFlightCap.peak().inFlight() > 0 || account.isQuerying();
        if (busy || now - balance.refreshedAtMs() <= IDLE_TIMEOUT_MS) {
            return false;
        }
        account.close();
        return true;
    }
}
