package stonelb.follower;

import com.github.xds.type.matcher.v3.Matcher;
import com.google.protobuf.Any;
import com.google.protobuf.InvalidProtocolBufferException;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings;
import io.envoyproxy.envoy.extensions.filters.http.rate_limit_quota.v3.RateLimitQuotaBucketSettings.BucketIdBuilder.ValueBuilder;
import io.envoyproxy.envoy.service.rate_limit_quota.v3.BucketId;
import io.envoyproxy.envoy.type.matcher.v3.HttpRequestHeaderMatchInput;
import java.util.Map;
import java.util.TreeMap;

/**
 * The quota bucket of a request.
 *
 * @param bucketId id of the bucket
 * @param settings settings that apply to it
 */
record BucketSelection(BucketId bucketId, RateLimitQuotaBucketSettings settings) {
    private static final int DEFAULT_DENY_STATUS = 429;

    /**
     * Selects the bucket of a request.
     *
     * @param matcher maps the request to its bucket settings; may be null
     * @param headers headers by name in lower case
     * @return the bucket, or null if no quota applies to the request
     */
    static BucketSelection select(Matcher matcher, Map<String, String> headers) {
        if (matcher == null) {
            return null;
        }
        try {
            Matcher.MatcherTree tree = matcher.getMatcherTree();
            String value = headerValue(tree.getInput().getTypedConfig(), headers);
            Matcher.OnMatch onMatch =
                    value == null ? null : tree.getExactMatchMap().getMapMap().get(value);
            if (onMatch == null) {
                return null;
            }
            RateLimitQuotaBucketSettings settings =
                    onMatch.getAction().getTypedConfig().unpack(RateLimitQuotaBucketSettings.class);
            return new BucketSelection(buildId(settings, headers), settings);
        } catch (InvalidProtocolBufferException e) {
            return null;
        }
    }

    private static BucketId buildId(RateLimitQuotaBucketSettings settings, Map<String, String> headers)
            throws InvalidProtocolBufferException {
        BucketId.Builder bucketId = BucketId.newBuilder();
        Map<String, ValueBuilder> builders =
                new TreeMap<>(settings.getBucketIdBuilder().getBucketIdBuilderMap());
        for (Map.Entry<String, ValueBuilder> entry : builders.entrySet()) {
            ValueBuilder builder = entry.getValue();
            String value = builder.hasStringValue()
                    ? builder.getStringValue()
                    : headerValue(builder.getCustomValue().getTypedConfig(), headers);
            if (value != null) {
                bucketId.putBucket(entry.getKey(), value);
            }
        }
        return bucketId.build();
    }

    /** The value of the header that a match input names, or null. */
    private static String headerValue(Any matchInput, Map<String, String> headers)
            throws InvalidProtocolBufferException {
        return headers.get(matchInput.unpack(HttpRequestHeaderMatchInput.class).getHeaderName());
    }

    /** The HTTP status code for requests that the bucket denies. */
    int denyStatus() {
        int status = settings.getDenyResponseSettings().getHttpStatus().getCodeValue();
        return status == 0 ? DEFAULT_DENY_STATUS : status;
    }
}
