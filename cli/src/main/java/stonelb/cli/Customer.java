package stonelb.cli;

/**
 * A customer that sends generated requests.
 *
 * @param id its customer ID in hexadecimal
 * @param plan its plan
 */
record Customer(String id, QuotaPlan plan) {}
