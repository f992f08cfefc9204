package stonelb.gateway.frontend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Positions of configured names, by name. */
public final class NameIndex {

    /** Maps each name to its position in the list. */
    public static Map<String, Integer> of(List<String> names) {
        Map<String, Integer> indexes = new HashMap<>();
        for (String name : names) {
            indexes.put(name, indexes.size());
        }
        return indexes;
    }

    private NameIndex() {}
}
