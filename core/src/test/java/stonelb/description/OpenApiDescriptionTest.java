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

/** Tests how descriptions are read into routes: prefixes, references, templates, classes and costs. */
class OpenApiDescriptionTest {
    static final RequestClass READ = new RequestClass(1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, 3);
    private static final RequestClass LOG =
            new RequestClass(2000, Idempotency.AT_MOST_ONCE, DeduplicationScope.ALL, 5000, 2);

    private final List<String> warnings = new ArrayList<>();

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
                text.getBytes(StandardCharsets.UTF_8), List.of("read", "log"), settings(READ, LOG), warnings::add);
    }

    private String rejectionMessage(String text) {
        return assertThrows(InvalidDescriptionException.class, () -> read(text)).getMessage();
    }

    private static String matchedOperation(Routes routes, String method, String path) throws MalformedPathException {
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
    void matchesServerPrefixesTemplatesAndLiteralPaths() throws Exception {
        Routes routes = read(YAML);
        assertEquals("GET /plans/{id}", matchedOperation(routes, "GET", "/v2/plans/7"));
        assertEquals("GET /plans/mine", matchedOperation(routes, "GET", "/old/plans/mine"));
        assertEquals(
                "GET /plans/mine",
                matchedOperation(routes, "GET", "/old/plans/m%69ne"),
                "an escaped segment matches the literal route");
        assertEquals("405", matchedOperation(routes, "PUT", "/old/plans/mine"));
        assertEquals("GET, PUT", routes.match("/v2/plans/7").allowHeader());
        assertEquals("GET /plans/{id}/video-{n}.mp4", matchedOperation(routes, "GET", "/v2/plans/7/video-12.mp4"));
        assertEquals("404", matchedOperation(routes, "GET", "/v2/plans/7/video-.mp4"));
        assertEquals("404", matchedOperation(routes, "GET", "/v2/plans/"));
        assertEquals("404", matchedOperation(routes, "GET", "/plans/7"));
        assertEquals("GET /here", matchedOperation(routes, "GET", "/here"));
        assertEquals("404", matchedOperation(routes, "GET", "/v2/here"));
        assertEquals(
                "GET /plans/{id}",
                matchedOperation(routes, "GET", "/v2/plans/a%2Fb"),
                "an escaped slash does not separate segments");
    }

    @Test
    void rejectsDotSegmentsAndMalformedEscapes() throws Exception {
        Routes routes = read(YAML);
        for (String path : List.of("/v2/plans/..", "/v2/./plans/7", "/v2/plans/%2e%2E", "/v2/plans/%4", "plans", "*")) {
            assertThrows(MalformedPathException.class, () -> routes.match(path), path);
        }
    }

    @Test
    void classAndCostComeFromOperationElsePathElseDefault() throws Exception {
        Routes routes = read(YAML);
        assertEquals(2, routes.match("/v2/plans/7").route("GET").cost());
        assertEquals(0, routes.match("/v2/plans/7").route("GET").requestClass());
        assertEquals(1, routes.match("/v2/plans/7").route("PUT").requestClass());
        Route log = routes.match("/v2/logs").route("POST");
        assertEquals(new Route("POST /logs", 1, 3, List.of("day"), List.of(), true), log);
        assertEquals(List.of(), warnings);
    }

    @Test
    void operationWithoutClassBecomesAtMostOnceWithWarning() throws Exception {
        Routes routes = read("{\"openapi\":\"3.0.3\",\"paths\":{\"/a\":{\"get\":{}}}}");
        assertEquals(1, routes.match("/a").route("GET").requestClass());
        assertTrue(warnings.get(0).startsWith("GET /a has no class, using log"), warnings.toString());
    }

    @Test
    void rejectsOperationWithoutClassIfNoClassIsAtMostOnce() {
        byte[] text = "{\"openapi\":\"3.0.3\",\"paths\":{\"/a\":{\"get\":{}}}}".getBytes(StandardCharsets.UTF_8);
        String message = assertThrows(
                        InvalidDescriptionException.class,
                        () -> OpenApiDescription.read(text, List.of("read"), settings(READ), warnings::add))
                .getMessage();
        assertTrue(message.startsWith("GET /a has no class"), message);
    }

    @Test
    void rejectionMessageDescribesTheError() {
        String head = "openapi: 3.0.0\npaths:\n  ";
        assertTrue(rejectionMessage("openapi: 2.0.0").contains("not OpenAPI 3"));
        assertTrue(rejectionMessage(head + "{}").contains("no operation"));
        assertTrue(
                rejectionMessage(head + "/a: {get: {x-stonelb-class: other}}").contains("GET /a has the class other"));
        assertTrue(rejectionMessage(head + "/a: {get: {x-stonelb-cost: 0}}").contains("GET /a costs"));
        assertTrue(rejectionMessage(head + "/a: {get: {x-stonelb-cost: 9}}").contains("GET /a costs"));
        assertTrue(rejectionMessage(head + "/a/{x}: {get: {}}\n  /a/{y}: {get: {}}")
                .contains("twice"));
        assertTrue(rejectionMessage(head + "/a: {$ref: '#/paths/~1a'}").contains("is circular"));
        assertTrue(rejectionMessage(head + "/a: {$ref: 'http://x/y'}").contains("not local"));
        assertTrue(rejectionMessage(head + "/a: {$ref: '#/b'}").contains("has no target"));
        assertTrue(rejectionMessage(": : :").contains("not the JSON or YAML"));
        assertTrue(rejectionMessage("{\"openapi\"").contains("not the JSON or YAML"));
        assertTrue(rejectionMessage("[]").contains("not an object"));
        assertTrue(rejectionMessage(head + "[]").contains("not the JSON or YAML"));
    }

    @Test
    void rejectsReferenceWithMalformedEscape() {
        String head = "openapi: 3.0.0\npaths:\n  ";
        for (String token : List.of("%zz", "a%", "%4", "%-1", "a/%g0")) {
            String reason = rejectionMessage(head + "/a: {$ref: '#/" + token + "'}");
            assertTrue(reason.contains("the reference #/" + token + " has a broken escape"), reason);
        }
    }

    @Test
    void rejectsNumbersThatJsonCannotRepresent() {
        for (String number : List.of(".nan", ".inf", "-.inf")) {
            String reason = rejectionMessage("openapi: 3.0.0\nx-number: " + number + "\npaths: {/a: {get: {}}}");
            assertTrue(reason.contains("not the JSON or YAML expected"), reason);
        }
    }

    @Test
    void decodesEscapesInReference() throws Exception {
        Routes routes = read(
                """
                openapi: 3.0.0
                x-stonelb-default-class: read
                paths:
                  /a: {$ref: '#/x-items/a%20b+c%25~1%C3%A9~01'}
                x-items:
                  'a b+c%/é~1': {get: {}}
                """);
        assertEquals("GET /a", matchedOperation(routes, "GET", "/a"));
    }

    @Test
    void doesNotMatchPathUnderUnknownServerPrefix() throws Exception {
        assertNull(read(YAML).match("/v3/logs"));
    }
}
