package stonelb.gateway.frontend;

/** A response that is ready when it is enqueued. */
public interface CompletedResponse extends PendingResponse {
    @Override
    default boolean isReady() {
        return true;
    }
}
