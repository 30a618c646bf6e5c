package org.sageladder.scenario.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FaultSeriesTest {
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
  void sameSeedDrawsTheSameSeriesWithinTheTraffic() {
    for (long seed = 1; seed <= 50; seed++) {
      assertEquals(FaultSeries.random(seed, 40_000), FaultSeries.random(seed, 40_000));
      for (FaultSeries series : FaultSeries.random(seed, 40_000)) {
        assertTrue(series.fromMillis() < series.toMillis(), series.toString());
        assertTrue(series.toMillis() <= 40_000, series.toString());
      }
    }
  }
}
