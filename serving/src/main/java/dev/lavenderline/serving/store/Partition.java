package dev.lavenderline.serving.store;

/**
 * A partition of a topic. Immutable.
 *
 * @param topic name of the topic
 * @param number number of the partition, from 0
 */
public record Partition(String topic, int number) {
    @Override
    public String toString() {
        return topic + "/" + number;
    }
}
