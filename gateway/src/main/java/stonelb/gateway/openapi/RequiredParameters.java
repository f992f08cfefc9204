package stonelb.gateway.openapi;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import stonelb.description.Route;
import stonelb.http.HttpMessage;
import stonelb.io.MalformedInputException;

/** Checks that a request has what its route requires: query parameters, headers and a body. */
final class RequiredParameters {

    /**
     * Checks a request.
     *
     * @param query the query of the request's target
     * @throws MalformedInputException naming what is missing; its message is sent to the client
     */
    static void check(Route route, HttpMessage message, String query) throws MalformedInputException {
        List<String> requiredNames = route.requiredQueryParameters();
        Set<String> names = requiredNames.isEmpty() ? Set.of() : parameterNames(query);
        for (String name : requiredNames) {
            if (!names.contains(name)) {
                throw new MalformedInputException("the query parameter " + name + " is missing");
            }
        }
        for (String name : route.requiredHeaders()) {
            if (!message.headers().containsKey(name)) {
                throw new MalformedInputException("the header " + name + " is missing");
            }
        }
        if (route.requiresBody() && message.body().length == 0) {
            throw new MalformedInputException("the body is missing");
        }
    }

    /** Decodes the names of all parameters, so that a malformed one is an error at any position. */
    private static Set<String> parameterNames(String query) throws MalformedInputException {
        Set<String> names = new HashSet<>();
        for (String parameter : query.split("&", 0)) {
            int equals = parameter.indexOf('=');
            names.add(decode(equals < 0 ? parameter : parameter.substring(0, equals)));
        }
        return names;
    }

    private static String decode(String text) throws MalformedInputException {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new MalformedInputException("the query has broken escapes");
        }
    }

    private RequiredParameters() {}
}
