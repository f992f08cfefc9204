package stonelb.description;

import java.util.List;

/**
 * One operation of a description.
 *
 * @param name method and path
 * @param requestClass index of its request class in the settings
 * @param cost units of quota that a request costs
 * @param requiredQueryParameters names of the query parameters that a request must have
 * @param requiredHeaders names of the headers that a request must have, in lower case
 * @param requiresBody whether a request must have a body
 */
public record Route(
        String name,
        int requestClass,
        double cost,
        List<String> requiredQueryParameters,
        List<String> requiredHeaders,
        boolean requiresBody) {}
