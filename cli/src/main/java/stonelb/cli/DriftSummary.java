package stonelb.cli;

/**
 * The difference between two deployments that received the same traffic.
 *
 * @param worstCustomer the ID of the customer with the largest difference; empty if there was no request
 * @param units the units by which its count is outside the tolerated band
 * @param seconds the width of the band that would contain it, in seconds
 * @param customersOutsideBand the number of customers outside the tolerated band
 * @param customers the number of customers that were served
 * @param candidateUnits the units served by the candidate deployment
 * @param referenceUnits the units served by the reference deployment
 */
record DriftSummary(
        String worstCustomer,
        double units,
        double seconds,
        int customersOutsideBand,
        int customers,
        double candidateUnits,
        double referenceUnits) {}
