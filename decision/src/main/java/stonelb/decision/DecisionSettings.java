package stonelb.decision;

import java.util.List;

/**
 * The settings of an engine, fixed at its start.
 *
 * @param gateways the number of gateways that share the endpoints and quotas
 * @param timerResolutionMs the interval at which the host's clock and timers advance
 * @param endpointsOnRequest whether the host sends endpoint lists only after {@link DecisionActions#watchEndpoints}
 * @param chargesActualUnits whether quotas are corrected by the units that responses report
 * @param maxUnits the units of the largest request, 0 if unknown
 */
public record DecisionSettings(
        int gateways,
        List<RequestClass> classes,
        List<Plan> plans,
        AttemptLimits attemptLimits,
        SlowStart slowStart,
        CounterSettings counter,
        double timerResolutionMs,
        boolean endpointsOnRequest,
        boolean chargesActualUnits,
        double maxUnits) {}
