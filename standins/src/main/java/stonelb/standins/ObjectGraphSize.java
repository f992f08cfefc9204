package stonelb.standins;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Counts the elements of all collections reachable from an object of the project, to detect unbounded growth. */
public final class ObjectGraphSize {
    private static final String PROJECT_PACKAGE = "stonelb.";

    private ObjectGraphSize() {}

    /**
     * Counts through the fields of the project's classes and through collections, maps and arrays; other objects are
     * not traversed.
     *
     * @param root where to start
     * @return the number of elements of all collections that were reached
     * @throws IllegalAccessException if a field can't be read
     */
    public static int of(Object root) throws IllegalAccessException {
        Set<Object> visited = Collections.newSetFromMap(new IdentityHashMap<>());
        ArrayDeque<Object> pending = new ArrayDeque<>();
        pending.add(root);
        int elements = 0;
        while (!pending.isEmpty()) {
            Object object = pending.poll();
            if (!visited.add(object)) {
                continue;
            }
            Collection<?> contents = contents(object);
            if (contents != null) {
                List<?> present = contents.stream().filter(Objects::nonNull).toList();
                elements += present.size();
                pending.addAll(present);
            } else if (isOfProject(object.getClass()) && !object.getClass().isEnum()) {
                pending.addAll(fieldValues(object));
            }
        }
        return elements;
    }

    /** Returns the elements of a collection, map or array; null for any other object. */
    private static Collection<?> contents(Object object) {
        if (object instanceof Map<?, ?> map) {
            return map.values();
        }
        if (object instanceof Collection<?> collection) {
            return collection;
        }
        return object instanceof Object[] array ? Arrays.asList(array) : null;
    }

    private static boolean isOfProject(Class<?> type) {
        return type.getName().startsWith(PROJECT_PACKAGE);
    }

    private static List<Object> fieldValues(Object object) throws IllegalAccessException {
        List<Object> values = new ArrayList<>();
        for (Class<?> type = object.getClass(); type != Object.class; type = type.getSuperclass()) {
            for (Field field : type.getDeclaredFields()) {
                if (Modifier.isStatic(field.getModifiers()) || field.getType().isPrimitive() || !isOfProject(type)) {
                    continue;
                }
                field.setAccessible(true);
                Object value = field.get(object);
                if (value != null) {
                    values.add(value);
                }
            }
        }
        return values;
    }
}
