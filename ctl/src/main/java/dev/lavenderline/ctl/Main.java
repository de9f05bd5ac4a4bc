package dev.lavenderline.ctl;

/** Entry point. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {}
}
