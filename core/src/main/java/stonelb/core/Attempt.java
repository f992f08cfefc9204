package stonelb.core;

import stonelb.decision.Outcome;

/** One attempt of a request at one endpoint. As a timer callback it is the attempt's timeout. */
public final class Attempt implements TimerCallback {
    private final RequestTable requestTable;
    private final ClientRequest request;
    private final int number;
    private final long endpoint;

    /** When the process that the decision engine chose had started, in milliseconds on the clock of the table. */
    private final double endpointStartedAt;

    private final double startedAt;
    private final double deadline;

    /** Whether the result is known; {@link #outcome} and {@link #response} then hold it. */
    boolean finished;

    Outcome outcome;

    /** Null unless the attempt succeeded. */
    Response response;

    /** Ends the attempt at its deadline; cancelled when it ends before. */
    TimerQueue.Timer timeout;

    private Object connection;

    Attempt(
            RequestTable requestTable,
            ClientRequest request,
            int number,
            long endpoint,
            double endpointStartedAt,
            double startedAt,
            double deadline) {
        this.requestTable = requestTable;
        this.request = request;
        this.number = number;
        this.endpoint = endpoint;
        this.endpointStartedAt = endpointStartedAt;
        this.startedAt = startedAt;
        this.deadline = deadline;
    }

    /** The request that this attempt belongs to. */
    public ClientRequest request() {
        return request;
    }

    /** Whether the request may be executed again if the result of this attempt is unknown. */
    public boolean isIdempotent() {
        return requestTable.isIdempotent(request);
    }

    /** The number of earlier attempts of the request. */
    public int number() {
        return number;
    }

    /** The id of the endpoint. */
    public long endpoint() {
        return endpoint;
    }

    double endpointStartedAt() {
        return endpointStartedAt;
    }

    /** When it was started, in milliseconds on the clock of the request table. */
    public double startedAt() {
        return startedAt;
    }

    /** When the gateway stops waiting for it, on the same clock. */
    public double deadline() {
        return deadline;
    }

    /** The connection on which it is sent, or null; used only by the endpoint connector. */
    public Object connection() {
        return connection;
    }

    /** Sets {@link #connection()}. */
    public void connection(Object newConnection) {
        connection = newConnection;
    }

    @Override
    public void onTimer(double now, long token) {
        requestTable.attemptTimedOut(this);
    }
}
