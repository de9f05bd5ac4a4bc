package dev.lavenderline.standins;

/** Entry point. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {}
}
