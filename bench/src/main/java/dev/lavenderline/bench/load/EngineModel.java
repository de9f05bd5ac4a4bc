package dev.lavenderline.bench.load;

/**
 * The engine stand-in's service model in closed form; times in milliseconds.
 *
 * @param sequences sequences that run at once
 * @param stepBase time of a step without sequences
 * @param stepPerSequence time that each running sequence adds to a step
 */
record EngineModel(int sequences, double stepBase, double stepPerSequence) {
    /** The options that the experiments give to the stand-ins. */
    static final EngineModel STANDARD = new EngineModel(16, 20, 0.25);

    /** Returns the largest rate of generated tokens of a number of engines, without any prefill. */
    double tokensPerSecond(int engines) {
        return engines * sequences / ((stepBase + stepPerSequence * sequences) / 1e3);
    }

    String[] options() {
        return new String[] {
            "--max-concurrent", Integer.toString(sequences),
            "--step-base", Double.toString(stepBase),
            "--step-per-sequence", Double.toString(stepPerSequence)
        };
    }
}
