package stonelb.decision;

/** An entry of an endpoint list; {@code startedAtMs} is 0 if the endpoint started long ago. */
public record Endpoint(long id, EndpointState state, double startedAtMs, double weight, int cell, int zone) {}
