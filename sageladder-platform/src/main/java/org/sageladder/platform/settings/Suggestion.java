package org.sageladder.platform.settings;

import java.util.Collection;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Finds what a misspelt word was probably meant to be. */
public final class Suggestion {
  private Suggestion() {}

  /** The word with the fewest edits from {@code input}, or null where none is near. */
  public static @Nullable String nearest(String input, Collection<String> words) {
    int fewest = Math.max(2, input.length() / 3) + 1;
    String nearest = null;
    for (String word : words) {
      int edits = editDistance(input.toLowerCase(Locale.ROOT), word.toLowerCase(Locale.ROOT));
      if (edits < fewest) {
        fewest = edits;
        nearest = word;
      }
    }
    return nearest;
  }

  /** Levenshtein distance by one row at a time. */
  private static int editDistance(String from, String to) {
    int[] above = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      above[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int[] row = new int[to.length() + 1];
      row[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int replaced = above[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        row[j] = Math.min(replaced, 1 + Math.min(above[j], row[j - 1]));
      }
      above = row;
    }
    return above[to.length()];
  }
}
