package stonelb.decision;

import java.util.HashMap;
import java.util.SplittableRandom;

/** The components of one engine, wired together. */
record EngineComponents(
        OpenRequests requests,
        SlotAllocator slots,
        CounterHealth counter,
        EndpointTable endpoints,
        EndpointHealth health,
        LatencyRules latency,
        EndpointSelector selector,
        AttemptFeedback feedback,
        RequestDispatcher dispatcher,
        AttemptTimeouts timeouts,
        LeaseContext leases) {

    /** Creates the components, which share one sequence of random numbers that the seed determines. */
    static EngineComponents create(DecisionSettings settings, long seed, DecisionActions actions) {
        SplittableRandom random = new SplittableRandom(seed);
        OpenRequests requests = new OpenRequests();
        SlotAllocator slots = slots(settings);
        CounterHealth counter = new CounterHealth(settings.counter(), new CounterState());
        EndpointTable endpoints = new EndpointTable(settings, random::nextDouble);
        EndpointHealth health = new EndpointHealth(settings, endpoints);
        ServiceTimes times = new ServiceTimes(
                settings, LatencyRules.INITIAL_UNIT_TIME, LatencyRules.TIME_DECAY, LatencyRules.BASELINE_TIME_GROWTH);
        LatencyRules latency = new LatencyRules(times, random);
        AttemptRules rules = new AttemptRules(settings, requests, health);
        EndpointSelector selector = new EndpointSelector(endpoints, health, rules, times, random);
        AttemptFeedback feedback = new AttemptFeedback(health, latency, slots);
        RequestDispatcher dispatcher =
                new RequestDispatcher(settings, requests, slots, selector, latency, rules, actions);
        AttemptTimeouts timeouts = new AttemptTimeouts(settings, health, latency, slots, selector, dispatcher, actions);
        LeaseContext leases = new LeaseContext(settings, slots, counter, random, actions, new HashMap<>());
        return new EngineComponents(
                requests, slots, counter, endpoints, health, latency, selector, feedback, dispatcher, timeouts, leases);
    }

    private static SlotAllocator slots(DecisionSettings settings) {
        PriorityTiers tiers = new PriorityTiers(settings, SlotAllocator.MAX_TIERS);
        return new SlotAllocator(
                Math.max(1, settings.gateways()),
                tiers,
                new SlotLimit(),
                new SlotCounts(tiers.count()),
                new TierDemand(tiers.count(), SlotAllocator.ARRIVAL_RATE_WEIGHT, SlotAllocator.VALUE_WEIGHT),
                new ResponseCounts(),
                new MovingAverage(SlotAllocator.MIN_LATENCY_WEIGHT));
    }
}
