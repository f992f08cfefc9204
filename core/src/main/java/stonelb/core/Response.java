package stonelb.core;

/** An endpoint's response to a request. The request table passes it to the frontend without inspecting it. */
public interface Response {}
