package stonelb.description;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import stonelb.decision.AttemptLimits;
import stonelb.decision.CounterSettings;
import stonelb.decision.DecisionSettings;
import stonelb.decision.DeduplicationScope;
import stonelb.decision.Idempotency;
import stonelb.decision.Plan;
import stonelb.decision.RequestClass;
import stonelb.decision.SlowStart;

/** Descriptions into routes: prefixes, references, templates, classes and costs. */
class OpenApiDescriptionTest {
    static final RequestClass READ = new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, 3);
    private static final RequestClass LOG =
            new RequestClass(2000, Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL, 5000, 2);

    private final List<String> reported = new ArrayList<>();

    static DecisionSettings settings(RequestClass... classes) {
        return new DecisionSettings(
                1,
                List.of(classes),
                List.of(new Plan(1, 5, 0, 0, 0, 1, 0, 1)),
                new AttemptLimits(6, false, true, true, 1000),
                new SlowStart(0.2, 1000, 1000),
                new CounterSettings(false, 50),
                2,
                false,
                false,
                4);
    }

    private Routes read(String text) throws InvalidDescriptionException {
        return OpenApiDescription.read(
                text.getBytes(StandardCharsets.UTF_8), List.of("read", "log"), settings(READ, LOG), reported::add);
    }

    private String rejected(String text) {
        return assertThrows(InvalidDescriptionException.class, () -> read(text)).getMessage();
    }

    private static String name(Routes routes, String method, String path) throws MalformedPathException {
        Routes.Match match = routes.match(path);
        return match == null
                ? "404"
                : match.route(method) == null ? "405" : match.route(method).name();
    }

    private static final String YAML =
            """
            openapi: 3.1.0
            info: {title: plans, version: '1'}
            servers:
              - url: https://api.example/{stage}/
                variables: {stage: {default: v2}}
              - url: /old
            x-stonelb-default-class: read
            paths:
              /plans/{id}:
                get: {x-stonelb-cost: 2}
                put: {x-stonelb-class: log}
              /plans/mine:
                get: {}
              /plans/{id}/video-{n}.mp4:
                get: {x-stonelb-cost: 4}
              /logs:
                $ref: '#/components/pathItems/lo~1gs'
                x-stonelb-cost: 3
              /here:
                servers: [{url: 'http://h:1'}]
                get: {}
            components:
              pathItems:
                lo/gs:
                  x-stonelb-class: log
                  post:
                    parameters: [{$ref: '#/components/parameters/Day'}]
                    requestBody: {required: true}
              parameters:
                Day: {name: day, in: query, required: true}
            """;

    @Test
    void prefixesTemplatesAndConcretePaths() throws Exception {
        Routes routes = read(YAML);
        assertEquals("GET /plans/{id}", name(routes, "GET", "/v2/plans/7"));
        assertEquals("GET /plans/mine", name(routes, "GET", "/old/plans/mine"));
        assertEquals("GET /plans/mine", name(routes, "GET", "/old/plans/m%69ne"), "escapes do not get round a route");
        assertEquals("405", name(routes, "PUT", "/old/plans/mine"));
        assertEquals("GET, PUT", routes.match("/v2/plans/7").allow());
        assertEquals("GET /plans/{id}/video-{n}.mp4", name(routes, "GET", "/v2/plans/7/video-12.mp4"));
        assertEquals("404", name(routes, "GET", "/v2/plans/7/video-.mp4"));
        assertEquals("404", name(routes, "GET", "/v2/plans/"));
        assertEquals("404", name(routes, "GET", "/plans/7"));
        assertEquals("GET /here", name(routes, "GET", "/here"));
        assertEquals("404", name(routes, "GET", "/v2/here"));
        assertEquals("GET /plans/{id}", name(routes, "GET", "/v2/plans/a%2Fb"), "an escaped slash is no border");
    }

    @Test
    void dotSegmentsAndBrokenEscapesAreNoPaths() throws Exception {
        Routes routes = read(YAML);
        for (String bad : List.of("/v2/plans/..", "/v2/./plans/7", "/v2/plans/%2e%2E", "/v2/plans/%4", "plans", "*")) {
            assertThrows(MalformedPathException.class, () -> routes.match(bad), bad);
        }
    }

    @Test
    void classesAndCostsComeFromTheNearestMark() throws Exception {
        Routes routes = read(YAML);
        assertEquals(2, routes.match("/v2/plans/7").route("GET").cost());
        assertEquals(0, routes.match("/v2/plans/7").route("GET").requestClass());
        assertEquals(1, routes.match("/v2/plans/7").route("PUT").requestClass());
        Route log = routes.match("/v2/logs").route("POST");
        assertEquals(new Route("POST /logs", 1, 3, List.of("day"), List.of(), true), log);
        assertEquals(List.of(), reported);
    }

    @Test
    void anOperationWithNoClassNeverRunsTwiceAndIsReported() throws Exception {
        Routes routes = read("{\"openapi\":\"3.0.3\",\"paths\":{\"/a\":{\"get\":{}}}}");
        assertEquals(1, routes.match("/a").route("GET").requestClass());
        assertTrue(reported.get(0).startsWith("GET /a has no class, using log"), reported.toString());
    }

    @Test
    void withNoSuchClassTheDescriptionIsRejectedAndTheOperationNamed() {
        byte[] text = "{\"openapi\":\"3.0.3\",\"paths\":{\"/a\":{\"get\":{}}}}".getBytes(StandardCharsets.UTF_8);
        String why = assertThrows(
                        InvalidDescriptionException.class,
                        () -> OpenApiDescription.read(text, List.of("read"), settings(READ), reported::add))
                .getMessage();
        assertTrue(why.startsWith("GET /a has no class"), why);
    }

    @Test
    void rejectionsSayWhatIsWrong() {
        String head = "openapi: 3.0.0\npaths:\n  ";
        assertTrue(rejected("openapi: 2.0.0").contains("not OpenAPI 3"));
        assertTrue(rejected(head + "{}").contains("no operation"));
        assertTrue(rejected(head + "/a: {get: {x-stonelb-class: other}}").contains("GET /a has the class other"));
        assertTrue(rejected(head + "/a: {get: {x-stonelb-cost: 0}}").contains("GET /a costs"));
        assertTrue(rejected(head + "/a: {get: {x-stonelb-cost: 9}}").contains("GET /a costs"));
        assertTrue(rejected(head + "/a/{x}: {get: {}}\n  /a/{y}: {get: {}}").contains("twice"));
        assertTrue(rejected(head + "/a: {$ref: '#/paths/~1a'}").contains("circle"));
        assertTrue(rejected(head + "/a: {$ref: 'http://x/y'}").contains("not local"));
        assertTrue(rejected(head + "/a: {$ref: '#/b'}").contains("nowhere"));
        assertTrue(rejected(": : :").contains("not the JSON or YAML"));
        assertTrue(rejected("{\"openapi\"").contains("not the JSON or YAML"));
        assertTrue(rejected("[]").contains("not an object"));
        assertTrue(rejected(head + "[]").contains("not the JSON or YAML"));
    }

    @Test
    void aReferenceWithABrokenEscapeIsRejected() {
        String head = "openapi: 3.0.0\npaths:\n  ";
        for (String broken : List.of("%zz", "a%", "%4", "%-1", "a/%g0")) {
            String reason = rejected(head + "/a: {$ref: '#/" + broken + "'}");
            assertTrue(reason.contains("the reference #/" + broken + " has a broken escape"), reason);
        }
    }

    @Test
    void aNumberThatJsonDoesNotHaveIsRejected() {
        for (String number : List.of(".nan", ".inf", "-.inf")) {
            String reason = rejected("openapi: 3.0.0\nx-number: " + number + "\npaths: {/a: {get: {}}}");
            assertTrue(reason.contains("not the JSON or YAML expected"), reason);
        }
    }

    @Test
    void escapesInAReferenceAreDecoded() throws Exception {
        Routes routes = read(
                """
                openapi: 3.0.0
                x-stonelb-default-class: read
                paths:
                  /a: {$ref: '#/x-items/a%20b+c%25~1%C3%A9~01'}
                x-items:
                  'a b+c%/é~1': {get: {}}
                """);
        assertEquals("GET /a", name(routes, "GET", "/a"));
    }

    @Test
    void oneMethodUnderTwoServersAndNoMatchElsewhere() throws Exception {
        assertNull(read(YAML).match("/v3/logs"));
    }
}
