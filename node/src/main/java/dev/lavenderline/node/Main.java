package dev.lavenderline.node;

/** Entry point. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {}
}
