package dev.lavenderline.bench.load;

/**
 * The step-time model of the engine stand-in.
 *
 * @param maxSequences maximum number of concurrent sequences
 * @param stepBaseMs fixed time of a step, in milliseconds
 * @param stepPerSequenceMs additional step time per running sequence, in milliseconds
 */
record EngineModel(int maxSequences, double stepBaseMs, double stepPerSequenceMs) {
    /** The engine that all experiments use. */
    static final EngineModel STANDARD = new EngineModel(16, 20, 0.25);

    /** Returns the maximum token throughput of a number of engines, ignoring prefill. */
    double tokensPerSecond(int engines) {
        return engines * maxSequences / ((stepBaseMs + stepPerSequenceMs * maxSequences) / 1e3);
    }

    /** Returns the command line options of an engine stand-in with this model. */
    String[] options() {
        return new String[] {
            "--max-concurrent", Integer.toString(maxSequences),
            "--step-base", Double.toString(stepBaseMs),
            "--step-per-sequence", Double.toString(stepPerSequenceMs)
        };
    }
}
