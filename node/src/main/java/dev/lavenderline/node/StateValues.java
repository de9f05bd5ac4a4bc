package dev.lavenderline.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Turns records into maps for the state dump; durations become milliseconds, whose keys end in {@code Ms}. Stateless.
 */
final class StateValues {
    private StateValues() {}

    /** Returns a value that JSON can hold: null, number, boolean, string, list or map. */
    static Object of(Object value) {
        if (value == null || value instanceof Number || value instanceof Boolean) {
            return value;
        }
        if (value instanceof Duration duration) {
            return duration.toMillis();
        }
        if (value instanceof Collection<?> collection) {
            return collection.stream().map(StateValues::of).toList();
        }
        if (value instanceof Map<?, ?> map) {
            Map<String, Object> copy = new LinkedHashMap<>();
            map.forEach((key, entry) -> copy.put(String.valueOf(key), of(entry)));
            return copy;
        }
        return value instanceof Record ? components(value) : value.toString();
    }

    private static Map<String, Object> components(Object holder) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (RecordComponent component : holder.getClass().getRecordComponents()) {
            String suffix = component.getType() == Duration.class ? "Ms" : "";
            values.put(component.getName() + suffix, of(read(component, holder)));
        }
        return values;
    }

    private static Object read(RecordComponent component, Object holder) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(holder);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read " + component, e);
        }
    }
}
