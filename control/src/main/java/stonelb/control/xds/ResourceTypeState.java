package stonelb.control.xds;

/** One resource type on one stream: its subscription, the pending watch, and the outstanding response. */
final class ResourceTypeState {
    /** The number of names reported for a wildcard subscription. */
    private static final int ALL_NAMES = -1;

    private final Subscription subscription;
    private Runnable watch; // responds if there is an update to send; null if no request is pending
    private String outstandingNonce; // of the response without ACK or NACK, or null
    private double sentAt;
    private String sentVersion = "";
    private String acknowledgedVersion = "";
    private String rejectionReason; // of the last NACK; null once a later version is acknowledged
    private long nacks;
    private long bytes;
    private boolean resend;

    ResourceTypeState(ResourceType type) {
        subscription = new Subscription(type);
    }

    Subscription subscription() {
        return subscription;
    }

    /** The pending watch, or null. */
    Runnable watch() {
        return watch;
    }

    void setWatch(Runnable watch) {
        this.watch = watch;
    }

    /** Whether the next response has to contain all subscribed resources, changed or not. */
    boolean isResendRequired() {
        return resend;
    }

    void requireResend() {
        resend = true;
    }

    /** Clears the watch and the required resend; called when an update is about to be sent. */
    void completeWatch() {
        watch = null;
        resend = false;
    }

    void responseSent(String nonce, String version, int size, double now) {
        outstandingNonce = nonce;
        sentAt = now;
        sentVersion = version;
        bytes += size;
    }

    boolean hasOutstandingResponse() {
        return outstandingNonce != null;
    }

    /** Whether this is the nonce of the outstanding response. */
    boolean isOutstanding(String nonce) {
        return nonce.equals(outstandingNonce);
    }

    /** How long the outstanding response has been without ACK or NACK, in ms. */
    double outstandingMs(double now) {
        return now - sentAt;
    }

    /** Records an ACK of the outstanding response. */
    void acknowledged() {
        outstandingNonce = null;
        acknowledgedVersion = sentVersion;
        rejectionReason = null;
    }

    /** Records a NACK of the outstanding response. */
    void rejected(String reason) {
        outstandingNonce = null;
        rejectionReason = reason;
        nacks++;
    }

    SubscriptionStatus status() {
        int subscribed = subscription.isWildcard() ? ALL_NAMES : subscription.size();
        return new SubscriptionStatus(sentVersion, acknowledgedVersion, rejectionReason, nacks, bytes, subscribed);
    }
}
