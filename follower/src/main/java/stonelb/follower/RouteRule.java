package stonelb.follower;

import com.google.re2j.Pattern;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * One route: the requests that it matches and their action. Path conditions that are null match every path.
 *
 * @param exactPath exact path
 * @param pathPrefix prefix of the path
 * @param pathPattern pattern that has to match the entire path
 * @param headerConditions conditions on the headers, all of which have to hold
 * @param action action for the matched requests
 */
record RouteRule(
        String exactPath,
        String pathPrefix,
        Pattern pathPattern,
        List<Predicate<Map<String, String>>> headerConditions,
        RouteAction action) {

    boolean matches(String path, Map<String, String> headers) {
        return (exactPath == null || exactPath.equals(path))
                && (pathPrefix == null || path.startsWith(pathPrefix))
                && (pathPattern == null || pathPattern.matcher(path).matches())
                && headerConditions.stream().allMatch(condition -> condition.test(headers));
    }
}
