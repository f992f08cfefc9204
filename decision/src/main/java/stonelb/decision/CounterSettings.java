package stonelb.decision;

/** Settings of the shared counter. Without a counter, each gateway enforces its own share of a quota. */
public record CounterSettings(boolean present, double timeoutMs) {}
