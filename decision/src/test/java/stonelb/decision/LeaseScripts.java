package stonelb.decision;

/** Scripts of gateways that the tests of leases share. */
final class LeaseScripts {
    static final Plan CEILED = new Plan(2, 8, 0, 4.7, 19, 1, 0, 1);

    static EngineScript script(double rate, double burst) {
        return new EngineScript(EngineScript.SAFE, EngineScript.rate(rate, burst)).servers(10);
    }

    /** Gateways so many that a part of the burst holds no try. */
    static EngineScript sparse() {
        return new EngineScript(EngineScript.SAFE, EngineScript.rate(1, 6), 0, 100).servers(100);
    }

    private LeaseScripts() {}
}
