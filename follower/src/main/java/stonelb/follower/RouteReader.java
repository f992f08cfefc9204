package stonelb.follower;

import com.github.xds.type.matcher.v3.Matcher;
import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.re2j.Pattern;
import com.google.re2j.PatternSyntaxException;
import io.envoyproxy.envoy.config.route.v3.HeaderMatcher;
import io.envoyproxy.envoy.config.route.v3.RetryPolicy;
import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteMatch;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaFilterConfig;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaOverride;
import io.envoyproxy.envoy.type.matcher.v3.StringMatcher;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Reads routes of {@code envoy.config.route.v3} and rejects unsupported features. */
final class RouteReader {
    private static final String QUOTA_FILTER = "envoy.filters.http.rate_limit_quota";
    private static final String RETRY_ON_ANY_FAILURE = "5xx";

    private RouteReader() {}

    static RouteRule read(Route route, RateLimitQuotaFilterConfig quotaFilter) throws InvalidResourceException {
        try {
            List<Predicate<Map<String, String>>> headerConditions = new ArrayList<>();
            for (HeaderMatcher matcher : route.getMatch().getHeadersList()) {
                headerConditions.add(headerCondition(matcher));
            }
            RouteMatch match = route.getMatch();
            if (!match.hasPath() && !match.hasSafeRegex() && !match.hasPrefix()) {
                throw new InvalidResourceException(
                        "the route '" + route.getName() + "' matches by something that is not supported");
            }
            return new RouteRule(
                    match.hasPath() ? match.getPath() : null,
                    match.hasPrefix() ? match.getPrefix() : null,
                    match.hasSafeRegex() ? Pattern.compile(match.getSafeRegex().getRegex()) : null,
                    headerConditions,
                    action(route, quotaFilter));
        } catch (PatternSyntaxException | InvalidProtocolBufferException e) {
            throw new InvalidResourceException("the route '" + route.getName() + "' can't be read: " + e.getMessage());
        }
    }

    private static Predicate<Map<String, String>> headerCondition(HeaderMatcher matcher)
            throws InvalidResourceException {
        String name = matcher.getName();
        if (matcher.hasPresentMatch()) {
            return headers -> headers.containsKey(name) == matcher.getPresentMatch();
        }
        if (!matcher.hasStringMatch()) {
            throw new InvalidResourceException("a header matcher on '" + name + "' is not supported");
        }
        Predicate<String> valueCondition = stringCondition(matcher.getStringMatch());
        return headers -> {
            String value = headers.get(name);
            if (value == null && !matcher.getTreatMissingHeaderAsEmpty()) {
                return false;
            }
            return valueCondition.test(value == null ? "" : value) != matcher.getInvertMatch();
        };
    }

    private static Predicate<String> stringCondition(StringMatcher matcher) throws InvalidResourceException {
        if (matcher.hasExact()) {
            return matcher.getExact()::equals;
        }
        if (matcher.hasSafeRegex()) {
            Pattern pattern = Pattern.compile(matcher.getSafeRegex().getRegex());
            return value -> pattern.matcher(value).matches();
        }
        throw new InvalidResourceException("a string matcher is not supported");
    }

    private static RouteAction action(Route route, RateLimitQuotaFilterConfig quotaFilter)
            throws InvalidResourceException, InvalidProtocolBufferException {
        if (route.hasDirectResponse()) {
            return new DirectResponse(route.getDirectResponse().getStatus());
        }
        if (!route.hasRoute() || route.getRoute().getCluster().isEmpty()) {
            throw new InvalidResourceException("the route '" + route.getName() + "' leads to no cluster");
        }
        RetryPolicy retryPolicy = route.getRoute().getRetryPolicy();
        String retryOn = retryPolicy.getRetryOn();
        int maxRetries =
                retryOn.isEmpty() ? 0 : Math.max(1, retryPolicy.getNumRetries().getValue());
        return new ClusterRoute(
                route.getName(),
                route.getRoute().getCluster(),
                ProtoDurations.toMillis(route.getRoute().getTimeout()),
                maxRetries,
                List.of(retryOn.split(",", -1)).contains(RETRY_ON_ANY_FAILURE),
                bucketMatcher(route, quotaFilter));
    }

    /** The route's bucket matcher, else that of the listener's quota filter, else null. */
    private static Matcher bucketMatcher(Route route, RateLimitQuotaFilterConfig quotaFilter)
            throws InvalidProtocolBufferException {
        Any override = route.getTypedPerFilterConfigMap().get(QUOTA_FILTER);
        if (override != null) {
            return override.unpack(RateLimitQuotaOverride.class).getBucketMatchers();
        }
        return quotaFilter == null ? null : quotaFilter.getBucketMatchers();
    }
}
