package dev.lavenderline.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.lavenderline.core.overload.Holding.Stage;
import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against a crowd of large or stuck requests that takes the room of ordinary ones. */
class OverloadPolicyTest {
    private static final long ROOM = 16 << 20;
    private static final long LARGE = 4 << 20;
    private static final long ORDINARY = 8 << 10;

    private static Holding holding(long bytes, Stage stage, long silentMillis) {
        return new Holding(bytes, stage, Duration.ofMillis(silentMillis));
    }

    @Test
    void largeHoldingsLeaveRoomForOrdinaryOnes() {
        assertFalse(OverloadPolicy.fits(ROOM, ROOM * 7 / 8, ROOM * 7 / 8, LARGE));
        assertTrue(OverloadPolicy.fits(ROOM, ROOM * 7 / 8, ROOM * 3 / 4, ORDINARY));
        assertFalse(OverloadPolicy.fits(ROOM, ROOM + 1, 0, ORDINARY));
    }

    @Test
    void singleLargeHoldingFits() {
        assertTrue(OverloadPolicy.fits(ROOM, 2 * LARGE, 2 * LARGE, 2 * LARGE));
    }

    @Test
    void ordinaryHoldingTakesTheRoomOfTheLargest() {
        List<Holding> holdings = List.of(
                holding(ORDINARY, Stage.RECEIVING, 0),
                holding(LARGE, Stage.RECEIVING, 0),
                holding(LARGE + 1, Stage.SENDING, 0),
                holding(2 * LARGE, Stage.SERVING, 5000),
                holding(3 * LARGE, Stage.CLOSING, 5000),
                holding(ORDINARY, Stage.RECEIVING, 9000));
        assertEquals(OptionalInt.of(2), OverloadPolicy.closeForMemory(holdings, 0));
    }

    @Test
    void largeHoldingTakesOnlyTheRoomOfOneThatIsSilent() {
        List<Holding> active = List.of(
                holding(LARGE, Stage.RECEIVING, 0),
                holding(2 * LARGE, Stage.RECEIVING, 999),
                holding(ORDINARY, Stage.RECEIVING, 9000));
        assertEquals(OptionalInt.empty(), OverloadPolicy.closeForMemory(active, 0));
        List<Holding> stuck = List.of(
                holding(LARGE, Stage.RECEIVING, 0),
                holding(LARGE, Stage.RECEIVING, 1500),
                holding(LARGE, Stage.RECEIVING, 2500));
        assertEquals(OptionalInt.of(2), OverloadPolicy.closeForMemory(stuck, 0));
    }

    @Test
    void ordinaryHoldingTakesTheRoomOfTheMostSilent() {
        List<Holding> holdings = List.of(
                holding(ORDINARY, Stage.RECEIVING, 4000),
                holding(ORDINARY, Stage.RECEIVING, 1500),
                holding(ORDINARY, Stage.IDLE, 2500),
                holding(ORDINARY, Stage.RECEIVING, 900));
        assertEquals(OptionalInt.of(2), OverloadPolicy.closeForMemory(holdings, 0));
    }

    @Test
    void activeAndRunningRequestsAreNeverChosen() {
        List<Holding> holdings = List.of(
                holding(ORDINARY, Stage.RECEIVING, 0),
                holding(ORDINARY, Stage.RECEIVING, 900),
                holding(LARGE, Stage.SERVING, 9000));
        assertEquals(OptionalInt.empty(), OverloadPolicy.closeForMemory(holdings, 0));
        assertEquals(OptionalInt.empty(), OverloadPolicy.closeForConnection(holdings));
    }

    @Test
    void connectionThatHasJustOpenedKeepsItsRoom() {
        List<Holding> holdings = List.of(holding(ORDINARY, Stage.IDLE, 199));
        assertEquals(OptionalInt.empty(), OverloadPolicy.closeForConnection(holdings));
        assertEquals(OptionalInt.of(0), OverloadPolicy.closeForConnection(List.of(holding(ORDINARY, Stage.IDLE, 200))));
    }

    @Test
    void newConnectionTakesTheRoomOfTheMostSilent() {
        List<Holding> holdings = List.of(
                holding(ORDINARY, Stage.IDLE, 1500),
                holding(ORDINARY, Stage.SERVING, 9000),
                holding(ORDINARY, Stage.RECEIVING, 2500));
        assertEquals(OptionalInt.of(2), OverloadPolicy.closeForConnection(holdings));
    }
}
