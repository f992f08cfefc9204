package stonelb.core;

/**
 * The attributes of a request, as a frontend parsed them.
 *
 * @param requestClass index of the request class in the settings
 * @param plan index of the customer's plan in the settings
 * @param customer id of the customer
 * @param deadlineMs when the client stops waiting, in milliseconds on the clock of the request table
 * @param units of quota that the request costs
 * @param spread as in {@link stonelb.decision.AdmissionRequest}
 * @param retry whether the client marked the request as a retry
 */
public record RequestAttributes(
        int requestClass, int plan, long customer, double deadlineMs, double units, int spread, boolean retry) {}
