package org.sageladder.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against headers that differ from those of the library. */
class CompactHeadersProperties {
  private static final List<String> NAMES = List.of("a", "B", "aa", "content-length", "Host");

  /** A change of the headers: an addition, a replacement or a removal. */
  private static void change(HttpHeaders headers, int step, String value) {
    String name = NAMES.get(step % NAMES.size());
    switch (step / NAMES.size() % 4) {
      case 0, 1 -> headers.add(new AsciiString(name), value);
      case 2 -> headers.set(name.toUpperCase(Locale.ROOT), value);
      default -> headers.remove(name);
    }
  }

  @Property(tries = 300, seed = "20261207")
  void changesHaveTheSameEffectAsInTheLibrary(
      @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 19) Integer> steps,
      @ForAll @IntRange(max = 300) int length) {
    String value = "é".repeat(length);
    HttpHeaders compact = CompactHeaders.unvalidated();
    HttpHeaders expected =
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
    for (int step : steps) {
      change(compact, step, value + step);
      change(expected, step, value + step);
    }
    assertEquals(expected.size(), compact.size());
    assertEquals(expected.isEmpty(), compact.isEmpty());
    for (String name : NAMES) {
      assertEquals(expected.get(name), compact.get(name));
      assertEquals(expected.getAll(name), compact.getAll(name));
      assertEquals(expected.contains(name), compact.contains(name));
    }
    assertEquals(expected.entries().toString(), compact.entries().toString());
  }

  @Example
  void manyShortLinesTakeLittleMemory() {
    HttpHeaders headers = CompactHeaders.factory().newHeaders();
    for (int i = 0; i < 4_000; i++) {
      headers.add(new AsciiString("a"), "");
    }
    assertTrue(CompactHeaders.heldBytes(headers) < 32 << 10);
  }

  @Example
  void namesAndValuesThatHttpDoesNotAllowAreRejected() {
    HttpHeaders headers = CompactHeaders.factory().newHeaders();
    assertThrows(IllegalArgumentException.class, () -> headers.add("", "v"));
    assertThrows(IllegalArgumentException.class, () -> headers.add("a b", "v"));
    assertThrows(IllegalArgumentException.class, () -> headers.add("a", "v\r\nb: w"));
    assertEquals(0, headers.size());
  }
}
