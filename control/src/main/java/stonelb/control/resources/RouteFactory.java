package stonelb.control.resources;

import com.google.protobuf.Any;
import com.google.protobuf.Message;
import com.google.protobuf.Struct;
import com.google.protobuf.UInt32Value;
import com.google.protobuf.Value;
import com.google.protobuf.util.Durations;
import io.envoyproxy.envoy.config.core.v3.DataSource;
import io.envoyproxy.envoy.config.core.v3.Metadata;
import io.envoyproxy.envoy.config.route.v3.DirectResponseAction;
import io.envoyproxy.envoy.config.route.v3.HeaderMatcher;
import io.envoyproxy.envoy.config.route.v3.RetryPolicy;
import io.envoyproxy.envoy.config.route.v3.Route;
import io.envoyproxy.envoy.config.route.v3.RouteAction;
import io.envoyproxy.envoy.config.route.v3.RouteConfiguration;
import io.envoyproxy.envoy.config.route.v3.RouteMatch;
import io.envoyproxy.envoy.config.route.v3.VirtualHost;
import io.envoyproxy.envoy.type.matcher.v3.RegexMatcher;
import io.envoyproxy.envoy.type.matcher.v3.StringMatcher;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntBinaryOperator;
import stonelb.decision.DecisionSettings;
import stonelb.decision.Idempotency;
import stonelb.decision.RequestClass;
import stonelb.description.Routes;

/**
 * Creates the route configurations: for each operation of the API description, one route for each tier of its plans.
 */
final class RouteFactory {
    private static final String VIRTUAL_HOST = "stonelb";
    private static final String GRPC_VIRTUAL_HOST = "grpc";
    private static final String ANY_DOMAIN = "*";
    private static final String METHOD_HEADER = ":method";
    private static final String METADATA_NAMESPACE = "stonelb";
    private static final String CLASS_METADATA = "class";
    private static final String NO_PLAN = "no-plan";
    private static final String UNKNOWN_OPERATION = "unknown";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int MAX_RETRIES = 2;
    private static final String RETRY_ON_NOT_PROCESSED = "connect-failure,refused-stream,retriable-headers";
    private static final String RETRY_ON_ANY_FAILURE = RETRY_ON_NOT_PROCESSED + ",5xx,reset";

    private final DecisionSettings settings;
    private final List<String> classes;
    private final List<Double> deadlinesMs;
    private final List<String> plans;
    private final QuotaFilterFactory quotaFilters;
    private final boolean grpcRoutes;

    /**
     * Creates the factory.
     *
     * @param classes names of request classes, in the order of the settings
     * @param deadlinesMs by request class, the time limit of its requests
     * @param plans names of plans, in the order of the settings
     * @param grpcRoutes whether there are routes for proxyless gRPC clients as well
     */
    RouteFactory(
            DecisionSettings settings,
            List<String> classes,
            List<Double> deadlinesMs,
            List<String> plans,
            QuotaFilterFactory quotaFilters,
            boolean grpcRoutes) {
        this.settings = settings;
        this.classes = classes;
        this.deadlinesMs = deadlinesMs;
        this.plans = plans;
        this.quotaFilters = quotaFilters;
        this.grpcRoutes = grpcRoutes;
    }

    Map<String, Message> routes(Routes apiRoutes, IntBinaryOperator tierOf) {
        Map<String, Message> configurations = new TreeMap<>();
        configurations.put(ResourceFactory.ROUTES, configuration(ResourceFactory.ROUTES, proxyHost(apiRoutes, tierOf)));
        if (grpcRoutes) {
            configurations.put(
                    ResourceFactory.GRPC_ROUTES, configuration(ResourceFactory.GRPC_ROUTES, grpcHost(tierOf)));
        }
        return configurations;
    }

    private static RouteConfiguration configuration(String name, VirtualHost host) {
        return RouteConfiguration.newBuilder()
                .setName(name)
                .addVirtualHosts(host)
                .build();
    }

    private VirtualHost proxyHost(Routes apiRoutes, IntBinaryOperator tierOf) {
        VirtualHost.Builder host =
                VirtualHost.newBuilder().setName(VIRTUAL_HOST).addDomains(ANY_DOMAIN);
        List<Routes.Entry> entries = new ArrayList<>(apiRoutes.entries());
        entries.sort(Comparator.comparing((Routes.Entry entry) -> PathPattern.precedenceKey(entry.path()))
                .thenComparing(Routes.Entry::method));
        for (Routes.Entry entry : entries) {
            plansByTier(entry.route().requestClass(), tierOf)
                    .forEach((tier, tierPlans) -> host.addRoutes(route(entry, tier, tierPlans)));
        }
        host.addRoutes(directResponse(NO_PLAN, unknownPlanMatch(), BAD_REQUEST));
        host.addRoutes(directResponse(UNKNOWN_OPERATION, pathPrefix("/"), NOT_FOUND));
        return host.build();
    }

    /** Proxyless gRPC clients can't match pseudo-headers, so all their calls are of the first request class. */
    private static VirtualHost grpcHost(IntBinaryOperator tierOf) {
        return VirtualHost.newBuilder()
                .setName(GRPC_VIRTUAL_HOST)
                .addDomains(ANY_DOMAIN)
                .addRoutes(Route.newBuilder()
                        .setMatch(pathPrefix(""))
                        .setRoute(RouteAction.newBuilder()
                                .setCluster(ResourceFactory.CLUSTER_PREFIX + tierOf.applyAsInt(0, 0))))
                .build();
    }

    private Map<Integer, List<String>> plansByTier(int requestClass, IntBinaryOperator tierOf) {
        Map<Integer, List<String>> byTier = new TreeMap<>();
        for (int plan = 0; plan < plans.size(); plan++) {
            int tier = tierOf.applyAsInt(requestClass, plan);
            byTier.computeIfAbsent(tier, key -> new ArrayList<>()).add(plans.get(plan));
        }
        return byTier;
    }

    private Route route(Routes.Entry entry, int tier, List<String> tierPlans) {
        int requestClass = entry.route().requestClass();
        double cost = entry.route().cost();
        Route.Builder route = Route.newBuilder()
                .setName(entry.method() + " " + entry.path() + " t" + tier)
                .setMatch(match(entry, tierPlans))
                .setRoute(action(requestClass, tier));
        if (QuotaFilterFactory.needsOverride(cost)) {
            route.putTypedPerFilterConfig(ResourceFactory.QUOTA_FILTER, Any.pack(quotaFilters.override(cost)));
        }
        return route.setMetadata(classMetadata(requestClass)).build();
    }

    private static RouteMatch match(Routes.Entry entry, List<String> tierPlans) {
        RouteMatch.Builder match = RouteMatch.newBuilder();
        if (PathPattern.isTemplate(entry.path())) {
            match.setSafeRegex(RegexMatcher.newBuilder().setRegex(PathPattern.regex(entry.path())));
        } else {
            match.setPath(entry.path());
        }
        return match.addHeaders(HeaderMatcher.newBuilder()
                        .setName(METHOD_HEADER)
                        .setStringMatch(StringMatcher.newBuilder().setExact(entry.method())))
                .addHeaders(HeaderMatcher.newBuilder()
                        .setName(ResourceFactory.PLAN_HEADER)
                        .setStringMatch(anyOf(tierPlans)))
                .build();
    }

    private RouteAction action(int requestClass, int tier) {
        long timeoutMs = (long) Math.max(1, deadlinesMs.get(requestClass));
        return RouteAction.newBuilder()
                .setCluster(ResourceFactory.CLUSTER_PREFIX + tier)
                .setTimeout(Durations.fromMillis(timeoutMs))
                .setRetryPolicy(retryPolicy(settings.classes().get(requestClass)))
                .build();
    }

    /**
     * Requests of an idempotent class are retried after any failure; others only where the attempt was certainly not
     * processed: no connection, a refused stream, or a response with {@link ResourceFactory#UNPROCESSED_HEADER}.
     */
    private RetryPolicy retryPolicy(RequestClass requestClass) {
        int retries = Math.max(0, settings.attemptLimits().maxAttempts() - 1);
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        return RetryPolicy.newBuilder()
                .setNumRetries(UInt32Value.of(Math.min(retries, MAX_RETRIES)))
                .addRetriableHeaders(HeaderMatcher.newBuilder()
                        .setName(ResourceFactory.UNPROCESSED_HEADER)
                        .setPresentMatch(true))
                .setRetryOn(idempotent ? RETRY_ON_ANY_FAILURE : RETRY_ON_NOT_PROCESSED)
                .build();
    }

    private Metadata classMetadata(int requestClass) {
        Value className =
                Value.newBuilder().setStringValue(classes.get(requestClass)).build();
        Struct fields = Struct.newBuilder().putFields(CLASS_METADATA, className).build();
        return Metadata.newBuilder()
                .putFilterMetadata(METADATA_NAMESPACE, fields)
                .build();
    }

    private RouteMatch unknownPlanMatch() {
        return pathPrefix("/").toBuilder()
                .addHeaders(HeaderMatcher.newBuilder()
                        .setName(ResourceFactory.PLAN_HEADER)
                        .setInvertMatch(true)
                        .setTreatMissingHeaderAsEmpty(true)
                        .setStringMatch(anyOf(plans)))
                .build();
    }

    private static RouteMatch pathPrefix(String prefix) {
        return RouteMatch.newBuilder().setPrefix(prefix).build();
    }

    private static StringMatcher anyOf(List<String> names) {
        if (names.size() == 1) {
            return StringMatcher.newBuilder().setExact(names.get(0)).build();
        }
        String regex = String.join("|", names.stream().map(PathPattern::escape).toList());
        return StringMatcher.newBuilder()
                .setSafeRegex(RegexMatcher.newBuilder().setRegex(regex))
                .build();
    }

    private static Route directResponse(String name, RouteMatch match, int status) {
        return Route.newBuilder()
                .setName(name)
                .setMatch(match)
                .setDirectResponse(DirectResponseAction.newBuilder()
                        .setStatus(status)
                        .setBody(DataSource.newBuilder().setInlineString(name)))
                .build();
    }
}
