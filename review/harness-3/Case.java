import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs a case: sets up the store and the record, and turns the outcome into the exit code. */
final class Case {
    private Case() {}

    /** The body of a case; returns whether the rule held. */
    interface Body {
        boolean run(Store store, Fleet fleet, Record record, boolean trouble) throws Exception;
    }

    static void run(String[] args, boolean strictRevocation, Body body) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath();
        Path folder = Path.of(args[1]).toAbsolutePath();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path temporary = Files.createTempDirectory("review-3-");
        int exit;
        try (Record record = new Record(folder.resolve("record.txt"));
                Store store = new Store();
                Fleet fleet = new Fleet(root, temporary, store, record, strictRevocation)) {
            record.line("trouble " + (trouble ? 1 : 0));
            Thread end = new Thread(fleet::close);
            Runtime.getRuntime().addShutdownHook(end);
            boolean held = body.run(store, fleet, record, trouble);
            record.line(held ? "held" : "broken");
            exit = held ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
            exit = 2;
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println(temporary);
        }
        System.exit(exit);
    }
}
