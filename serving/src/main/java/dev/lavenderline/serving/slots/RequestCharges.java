package dev.lavenderline.serving.slots;

/** Charges online requests to the quotas of their workspaces. Called by {@link SlotScheduler}, on the event loop. */
interface RequestCharges {
    /** Admits all requests. */
    RequestCharges NONE = new RequestCharges() {
        @Override
        public boolean admit(SlotRequest request) {
            return true;
        }

        @Override
        public void released(String node, long lease) {}

        @Override
        public void nodeLeft(String node) {}
    };

    /** Charges a request, or rejects it and returns false. */
    boolean admit(SlotRequest request);

    /** Records that a node has released a slot or withdrawn a request. */
    void released(String node, long lease);

    /** Records that a node no longer uses the scheduler, so that its waiting requests get no slot. */
    void nodeLeft(String node);
}
