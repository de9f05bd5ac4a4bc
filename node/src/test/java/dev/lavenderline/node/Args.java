package dev.lavenderline.node;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Builds command lines for tests. */
final class Args {
    private static final List<String> REQUIRED = List.of(
            "--node=n1",
            "--region=north-moor",
            "--failure-domain=north-moor-1",
            "--log-url=http://127.0.0.1:7001",
            "--hosts-url=http://127.0.0.1:7002");

    private Args() {}

    /** Returns the required flags, followed by the given ones. */
    static String[] with(String... more) {
        List<String> args = new ArrayList<>(REQUIRED);
        args.addAll(Arrays.asList(more));
        return args.toArray(String[]::new);
    }
}
