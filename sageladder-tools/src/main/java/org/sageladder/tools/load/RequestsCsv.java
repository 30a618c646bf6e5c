package org.sageladder.tools.load;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Writes every request of a run with its result as one CSV line. */
final class RequestsCsv {
  private static final String HEADER =
      "variant,request,service,region,block,due_ms,latency_ms,told,result,target,tries";

  private RequestsCsv() {}

  static void write(Path file, List<VariantResult> variants) throws IOException {
    try (BufferedWriter out = Files.newBufferedWriter(file, StandardCharsets.UTF_8)) {
      out.write(HEADER);
      out.newLine();
      for (VariantResult variant : variants) {
        List<RequestResult> results =
            variant.results().stream()
                .sorted(Comparator.comparingLong(result -> result.arrival().dueNanos()))
                .toList();
        for (RequestResult result : results) {
          out.write(formatLine(variant.name(), result));
          out.newLine();
        }
      }
    }
  }

  private static String formatLine(String variant, RequestResult result) {
    Arrival arrival = result.arrival();
    return String.format(
        Locale.ROOT,
        "%s,%s,%s,%s,%d,%.1f,%.1f,%s,%s,%s,%d",
        variant,
        arrival.requestId(),
        arrival.service(),
        arrival.region(),
        arrival.block(),
        arrival.dueNanos() / 1e6,
        result.latencyNanos() / 1e6,
        result.outcome(),
        result.code().replace(',', ';'),
        result.target(),
        result.attempts());
  }
}
