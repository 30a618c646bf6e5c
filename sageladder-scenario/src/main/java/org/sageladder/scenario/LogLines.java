package org.sageladder.scenario;

import java.util.List;
import java.util.Locale;
import org.sageladder.scenario.Fleet.LogSource;
import org.sageladder.standin.platform.Ledger;

/** Collects the log lines of all entry VMs in one list. */
final class LogLines {
  private LogLines() {}

  /** Adds a line for each request that reached a target, and sorts all lines by time. */
  static void addArrivals(SimulatedDay day, List<String> lines) {
    for (Ledger.Arrival arrival : day.ledger().arrivals()) {
      lines.add(
          String.format(
              Locale.ROOT,
              "%7d %-18s %-18s %-14s from %s, %s, cold %s, %d ms left",
              arrival.at(),
              arrival.target(),
              "ARRIVED",
              arrival.id(),
              arrival.from(),
              arrival.fate(),
              arrival.cold(),
              arrival.deadlineMillis()));
    }
    lines.sort(String::compareTo);
  }

  static LogSource appendTo(List<String> lines) {
    return (vm, clock) ->
        (kind, request, contract, subject, revision, detail) ->
            lines.add(
                String.format(
                    Locale.ROOT,
                    "%7d %-18s %-18s %-14s %-8s %-10s %d %s",
                    clock.getAsLong(),
                    vm,
                    kind,
                    request,
                    contract,
                    subject,
                    revision,
                    detail));
  }
}
