package stonelb.follower;

/** What a route does with the requests that it matches. */
sealed interface RouteAction permits DirectResponse, ClusterRoute {}
