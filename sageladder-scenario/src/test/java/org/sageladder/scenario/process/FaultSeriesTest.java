package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FaultSeriesTest {
  private static final Set<FaultSeries.Kind> UNPLANNED =
      EnumSet.complementOf(
          EnumSet.of(
              FaultSeries.Kind.TERMINATE_ONE,
              FaultSeries.Kind.HANG_UP_ONE,
              FaultSeries.Kind.CONFIGURE,
              FaultSeries.Kind.OCCUPY_PROCESSORS));

  @Test
  void parsesWhatItPrints() {
    for (FaultSeries.Kind kind : FaultSeries.Kind.values()) {
      FaultSeries series = new FaultSeries(kind, 5_000, 30_000, 2_500);
      assertEquals(series, FaultSeries.parse(series.toString()));
    }
  }

  @Test
  void errorQuotesTheInputAndSaysWhatIsAccepted() {
    String message =
        assertThrows(IllegalArgumentException.class, () -> FaultSeries.parse("kill-all@5..9"))
            .getMessage();
    assertTrue(message.contains("'kill-all@5..9'"), message);
    assertTrue(message.contains("kill-all@5000..30000/2500"), message);
  }

  @Test
  void plannedSeriesHoldStopsAllTheWhileAndNothingUnplanned() {
    for (long seed = 1; seed <= 50; seed++) {
      List<FaultSeries> drawn = FaultSeries.randomPlanned(seed, 40_000);
      FaultSeries stops = drawn.get(drawn.size() - 1);
      assertEquals(FaultSeries.Kind.TERMINATE_ONE, stops.kind());
      assertEquals(40_000, stops.toMillis() - stops.fromMillis());
      assertTrue(drawn.stream().noneMatch(series -> UNPLANNED.contains(series.kind())));
    }
  }

  @Test
  void changesHoldNewRoutesAndLeavingTargetsAllTheWhile() {
    for (long seed = 1; seed <= 50; seed++) {
      List<FaultSeries> drawn = FaultSeries.randomChanges(seed, 40_000);
      assertEquals(drawn, FaultSeries.randomChanges(seed, 40_000));
      for (FaultSeries.Kind kind :
          List.of(FaultSeries.Kind.CHANGE_ROUTES, FaultSeries.Kind.REPLACE_TARGET)) {
        assertTrue(
            drawn.stream()
                .anyMatch(series -> series.kind() == kind && series.toMillis() == 40_000));
      }
    }
  }

  @Test
  void sameSeedDrawsTheSameSeriesWithinTheTraffic() {
    for (long seed = 1; seed <= 50; seed++) {
      assertEquals(FaultSeries.random(seed, 40_000), FaultSeries.random(seed, 40_000));
      for (FaultSeries series : FaultSeries.random(seed, 40_000)) {
        assertTrue(series.fromMillis() < series.toMillis(), series.toString());
        assertTrue(series.toMillis() <= 40_000, series.toString());
      }
    }
  }

  @Test
  void unsolicitedBytesComeBesideStopsKillsSignalsAndChanges() {
    for (long seed = 1; seed <= 50; seed++) {
      List<FaultSeries> drawn = FaultSeries.randomUnsolicited(seed, 40_000);
      assertEquals(drawn, FaultSeries.randomUnsolicited(seed, 40_000));
      assertTrue(drawn.containsAll(FaultSeries.randomChanges(seed, 40_000)));
      assertTrue(
          drawn.stream()
              .anyMatch(series -> series.kind().compareTo(FaultSeries.Kind.CUT_HEADS) >= 0));
      for (FaultSeries.Kind kind :
          List.of(
              FaultSeries.Kind.TERMINATE_ONE,
              FaultSeries.Kind.KILL_ONE,
              FaultSeries.Kind.HANG_UP_ONE)) {
        assertTrue(drawn.stream().anyMatch(series -> series.kind() == kind));
      }
    }
  }
}
