package org.sageladder.entry.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.steering.LookUpTable;
import org.sageladder.core.steering.Route;
import org.sageladder.core.steering.SteeringInputs;
import org.sageladder.core.time.TimeSource;

/** Answers look-ups from an immutable table that is replaced whenever the state changes. */
public final class LookUps {
  /** Path of look-ups. */
  public static final String PATH = "/v1/look-up";

  private final TimeSource time;
  private volatile @Nullable LookUpTable table;

  private LookUps(TimeSource time) {
    this.time = time;
  }

  /** Look-ups that have no table until the first {@link #applyState}. */
  public static LookUps create(TimeSource time) {
    return new LookUps(time);
  }

  /** Builds a new table from {@code state}. */
  public void applyState(ClusterState state) {
    LookUpTable previous = table;
    long now = time.wallMillis();
    table =
        LookUpTable.build(
            state, previous == null ? SteeringInputs.at(now) : SteeringInputs.after(previous, now));
  }

  /** The route for one caller, or null if there is none. */
  @Nullable Route route(String contract, String service, int block) {
    LookUpTable current = table;
    return current == null
        ? null
        : current.lookUp(contract, service, block, ThreadLocalRandom.current().nextLong());
  }

  /** The route for one caller with {@code random} bits; equal bits give equal routes. */
  @Nullable Route route(Query query, long random) {
    LookUpTable current = table;
    return current == null
        ? null
        : current.lookUp(query.contract(), query.service(), query.block(), random);
  }

  /**
   * The query of a look-up.
   *
   * @param block the client block, or -1 if it is absent or not a number
   */
  record Query(String contract, String service, int block, String blockText) {
    static Query parse(String path) {
      String contract = "";
      String service = "";
      String block = "";
      int start = path.indexOf('?');
      for (String pair : (start < 0 ? "" : path.substring(start + 1)).split("&", -1)) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        String value = equals < 0 ? "" : decode(pair.substring(equals + 1));
        switch (name) {
          case "contract" -> contract = value;
          case "service" -> service = value;
          case "block" -> block = value;
          default -> {
            // Callers may add other parameters, such as one that bypasses a cache.
          }
        }
      }
      return new Query(contract, service, parseBlock(block), block);
    }

    private static String decode(String text) {
      try {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
      } catch (IllegalArgumentException e) {
        return text;
      }
    }

    /** The number of a block, or -1 if {@code text} is not a number. */
    static int parseBlock(String text) {
      boolean isNumeric = !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
      return isNumeric && text.length() <= 9 ? Integer.parseInt(text) : -1;
    }
  }
}
