package stonelb.decision;

/**
 * A client's request for admission.
 *
 * @param spread the number of gateways that the customer uses
 * @param retry whether the client repeats an earlier request
 */
public record AdmissionRequest(
        long id,
        int requestClass,
        int plan,
        long customer,
        double deadlineMs,
        double units,
        int spread,
        boolean retry) {}
