package dev.lavenderline.standins.stutter;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Where a stand-in writes a second copy of a response, or a part of one.
 *
 * @param place place of the copy, or part
 * @param withoutId whether the copy lacks the id of its request
 */
public record Stutter(Place place, boolean withoutId) {
    /** No second copies. */
    public static final Stutter NONE = new Stutter(Place.NONE, false);

    /** Name of the option that sets the place. */
    public static final String OPTION = "stutter";

    /** Name of the option that removes the id from copies. */
    public static final String WITHOUT_ID_OPTION = "stutter-without-id";

    /** Description of {@link #OPTION}. */
    public static final String DESCRIPTION = "where a second copy of each response is written: " + places();

    /** Description of {@link #WITHOUT_ID_OPTION}. */
    public static final String WITHOUT_ID_DESCRIPTION = "remove the request id from second copies";

    /** Place of a second copy on the connection of its response. */
    public enum Place {
        /** There is no copy. */
        NONE,
        /** Before the response to the next request. */
        BEFORE_NEXT,
        /** Like {@link #BEFORE_NEXT}, but only copies of rejections. */
        BEHIND_REJECTION,
        /** Together with the end of the response. */
        BEHIND,
        /** Inside the response to the next request. */
        WITHIN_NEXT,
        /** Some milliseconds after the response, while the connection is idle. */
        IDLE,
        /** Before the response to the next request, cut within its head. */
        CUT_BEFORE_NEXT,
        /** A part of the head, with another status, before the response itself. */
        PART_OF_HEAD;

        String optionValue() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private static String places() {
        return Arrays.stream(Place.values()).map(Place::optionValue).collect(Collectors.joining(", "));
    }

    /**
     * Parses the values of the options.
     *
     * @throws IllegalArgumentException if there is no such place
     */
    public static Stutter parse(String place, boolean withoutId) {
        return Arrays.stream(Place.values())
                .filter(value -> value.optionValue().equals(place))
                .findFirst()
                .map(value -> new Stutter(value, withoutId))
                .orElseThrow(
                        () -> new IllegalArgumentException(OPTION + " is " + place + ", must be one of " + places()));
    }
}
