package org.sageladder.platform.settings;

import java.util.Collection;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Suggests the intended word for a misspelt one. */
public final class Suggestion {
  private Suggestion() {}

  /**
   * Returns the word with the smallest edit distance from {@code input}, or null if none is close.
   */
  public static @Nullable String nearest(String input, Collection<String> words) {
    int minDistance = Math.max(2, input.length() / 3) + 1;
    String nearest = null;
    for (String word : words) {
      int distance = editDistance(input.toLowerCase(Locale.ROOT), word.toLowerCase(Locale.ROOT));
      if (distance < minDistance) {
        minDistance = distance;
        nearest = word;
      }
    }
    return nearest;
  }

  /** Computes the Levenshtein distance, one row of the matrix at a time. */
  private static int editDistance(String from, String to) {
    int[] previousRow = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      previousRow[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int[] row = new int[to.length() + 1];
      row[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int replaced = previousRow[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(replaced, 1 + Math.min(previousRow[j], row[j - 1]));
      }
      previousRow = row;
    }
    return previousRow[to.length()];
  }
}
