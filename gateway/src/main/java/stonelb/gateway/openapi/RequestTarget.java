package stonelb.gateway.openapi;

/** The target of an HTTP request in origin form: a path and, after a question mark, a query. */
record RequestTarget(String value, int queryMark) {
    private static final String ABSOLUTE_FORM = "http://";

    /** Parses a target in origin form or, as clients send it to a proxy, in absolute form. */
    static RequestTarget parse(String target) {
        String originForm = target;
        if (target.regionMatches(true, 0, ABSOLUTE_FORM, 0, ABSOLUTE_FORM.length())) {
            int slash = target.indexOf('/', ABSOLUTE_FORM.length());
            originForm = slash < 0 ? "/" : target.substring(slash);
        }
        return new RequestTarget(originForm, originForm.indexOf('?'));
    }

    String path() {
        return queryMark < 0 ? value : value.substring(0, queryMark);
    }

    /** The query without its question mark, or an empty string. */
    String query() {
        return queryMark < 0 ? "" : value.substring(queryMark + 1);
    }
}
