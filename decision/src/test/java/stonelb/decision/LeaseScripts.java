package stonelb.decision;

/** Scripted gateways for the tests of leases. */
final class LeaseScripts {
    static final Plan CEILING_PLAN = new Plan(2, 8, 0, 4.7, 19, 1, 0, 1);

    static EngineScript script(double rate, double burst) {
        return new EngineScript(EngineScript.IDEMPOTENT, EngineScript.planWithRate(rate, burst)).withEndpoints(10);
    }

    /** One of so many gateways that its share of the burst is less than a request. */
    static EngineScript manyGateways() {
        return new EngineScript(EngineScript.IDEMPOTENT, EngineScript.planWithRate(1, 6), 0, 100).withEndpoints(100);
    }

    private LeaseScripts() {}
}
