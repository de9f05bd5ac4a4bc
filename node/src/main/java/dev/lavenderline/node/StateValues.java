package dev.lavenderline.node;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Converts records to maps for the state dump; durations become milliseconds, with {@code Ms} appended to the key.
 * Stateless.
 */
final class StateValues {
    private StateValues() {}

    /** Returns a value that can be serialized as JSON: null, number, boolean, string, list or map. */
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

    private static Map<String, Object> components(Object source) {
        Map<String, Object> values = new LinkedHashMap<>();
        for (RecordComponent component : source.getClass().getRecordComponents()) {
            String suffix = component.getType() == Duration.class ? "Ms" : "";
            values.put(component.getName() + suffix, of(read(component, source)));
        }
        return values;
    }

    private static Object read(RecordComponent component, Object source) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(source);
        } catch (IllegalAccessException | InvocationTargetException e) {
            throw new IllegalStateException("cannot read record component " + component, e);
        }
    }
}
