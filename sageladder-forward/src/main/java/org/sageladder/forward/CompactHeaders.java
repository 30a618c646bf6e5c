package org.sageladder.forward;

import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.function.IntFunction;
import org.jspecify.annotations.Nullable;

/**
 * The headers of a message in one byte array, which is little larger than their lines.
 *
 * <p>Netty's own headers keep about a hundred bytes of objects for each line, however short, so
 * that some hundred heads of thousands of lines fill the heap of an entry VM.
 *
 * <pre>{@code
 * HttpHeaders headers = CompactHeaders.factory().newHeaders();
 * headers.add("Host", "h").get("host"); // "h"
 * }</pre>
 */
final class CompactHeaders extends HttpHeaders {
  private static final int MAX_LENGTH = 0xffff;

  /** Two bytes each for the lengths of name and value stand before these. */
  private static final int PREFIX_BYTES = 4;

  private static final int INITIAL_BYTES = 256;
  private static final int MAX_GROWTH_BYTES = 4 << 10;
  private static final int OBJECT_BYTES = 48;

  private final boolean isValidating;
  private byte[] bytes = {};
  private int end;
  private int count;

  private CompactHeaders(boolean isValidating) {
    this.isValidating = isValidating;
  }

  /** Creates headers that accept any name and value, to be filled from others. */
  static CompactHeaders unvalidated() {
    return new CompactHeaders(false);
  }

  /** Returns a factory of headers that reject names and values that HTTP does not allow. */
  static HttpHeadersFactory factory() {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new CompactHeaders(true);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return new CompactHeaders(true);
      }
    };
  }

  /** Bytes of heap that {@code headers} occupy. */
  static long heldBytes(HttpHeaders headers) {
    return headers instanceof CompactHeaders compact ? compact.bytes.length + OBJECT_BYTES : 0;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    String text = value instanceof CharSequence ? "" : String.valueOf(value);
    append(name, value instanceof CharSequence characters ? characters : text);
    return this;
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    return add((CharSequence) name, value);
  }

  @Override
  public HttpHeaders add(String name, Iterable<?> values) {
    values.forEach(value -> add(name, value));
    return this;
  }

  @Override
  public HttpHeaders addInt(CharSequence name, int value) {
    return add(name, Integer.toString(value));
  }

  @Override
  public HttpHeaders addShort(CharSequence name, short value) {
    return add(name, Short.toString(value));
  }

  @Override
  public HttpHeaders set(String name, Object value) {
    return remove(name).add(name, value);
  }

  @Override
  public HttpHeaders set(String name, Iterable<?> values) {
    return remove(name).add(name, values);
  }

  @Override
  public HttpHeaders setInt(CharSequence name, int value) {
    return set(name, Integer.toString(value));
  }

  @Override
  public HttpHeaders setShort(CharSequence name, short value) {
    return set(name, Short.toString(value));
  }

  private void append(CharSequence name, CharSequence value) {
    if (isValidating) {
      validate(name, value);
    }
    if (name.length() > MAX_LENGTH || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a header has more than " + MAX_LENGTH + " characters in its name or value");
    }
    int nameAt = end + PREFIX_BYTES;
    int valueAt = nameAt + name.length();
    reserve(valueAt + value.length());
    putLength(end, name.length());
    putLength(end + 2, value.length());
    put(nameAt, name);
    put(valueAt, value);
    end = valueAt + value.length();
    count++;
  }

  private static void validate(CharSequence name, CharSequence value) {
    if (name.length() == 0 || HttpHeaderValidationUtil.validateToken(name) >= 0) {
      throw new IllegalArgumentException("the name of a header is not a token");
    }
    if (HttpHeaderValidationUtil.validateValidHeaderValue(value) >= 0) {
      throw new IllegalArgumentException("a prohibited character in the value of a header");
    }
  }

  private void reserve(int length) {
    if (length > bytes.length) {
      int grown = bytes.length + Math.min(bytes.length, MAX_GROWTH_BYTES);
      bytes = Arrays.copyOf(bytes, Math.max(length, Math.max(INITIAL_BYTES, grown)));
    }
  }

  private void putLength(int at, int length) {
    bytes[at] = (byte) (length >> Byte.SIZE);
    bytes[at + 1] = (byte) length;
  }

  private void put(int at, CharSequence text) {
    if (text instanceof AsciiString ascii) {
      System.arraycopy(ascii.array(), ascii.arrayOffset(), bytes, at, ascii.length());
      return;
    }
    for (int i = 0; i < text.length(); i++) {
      bytes[at + i] = AsciiString.c2b(text.charAt(i));
    }
  }

  private int lengthAt(int at) {
    return (bytes[at] & 0xff) << Byte.SIZE | (bytes[at + 1] & 0xff);
  }

  private int nextAfter(int at) {
    return at + PREFIX_BYTES + lengthAt(at) + lengthAt(at + 2);
  }

  /** Position of the first header of that name from {@code at} on, or {@link #end}. */
  private int find(CharSequence name, int at) {
    int next = at;
    while (next < end && !hasName(next, name)) {
      next = nextAfter(next);
    }
    return next;
  }

  private boolean hasName(int at, CharSequence name) {
    int length = lengthAt(at);
    if (length != name.length()) {
      return false;
    }
    for (int i = 0; i < length; i++) {
      char own = (char) (bytes[at + PREFIX_BYTES + i] & 0xff);
      if (AsciiString.toLowerCase(own) != AsciiString.toLowerCase(name.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  private AsciiString nameAt(int at) {
    return new AsciiString(bytes, at + PREFIX_BYTES, lengthAt(at), false);
  }

  private AsciiString valueAt(int at) {
    int start = at + PREFIX_BYTES + lengthAt(at);
    return new AsciiString(bytes, start, lengthAt(at + 2), false);
  }

  private static String toString(AsciiString text) {
    return new String(text.array(), text.arrayOffset(), text.length(), StandardCharsets.ISO_8859_1);
  }

  @Override
  public HttpHeaders remove(String name) {
    int kept = find(name, 0);
    int at = kept;
    while (at < end) {
      int next = nextAfter(at);
      if (hasName(at, name)) {
        count--;
      } else {
        System.arraycopy(bytes, at, bytes, kept, next - at);
        kept += next - at;
      }
      at = next;
    }
    end = kept;
    return this;
  }

  @Override
  public HttpHeaders clear() {
    end = 0;
    count = 0;
    return this;
  }

  @Override
  public @Nullable String get(String name) {
    int at = find(name, 0);
    return at == end ? null : toString(valueAt(at));
  }

  @Override
  public List<String> getAll(String name) {
    List<String> values = new ArrayList<>();
    for (int at = find(name, 0); at < end; at = find(name, nextAfter(at))) {
      values.add(toString(valueAt(at)));
    }
    return values;
  }

  @Override
  public boolean contains(String name) {
    return find(name, 0) < end;
  }

  @Override
  public @Nullable Integer getInt(CharSequence name) {
    try {
      String value = get(name);
      return value == null ? null : Integer.valueOf(value.strip());
    } catch (NumberFormatException e) {
      // As documented, a value that is no number counts as missing.
      return null;
    }
  }

  @Override
  public int getInt(CharSequence name, int defaultValue) {
    Integer value = getInt(name);
    return value == null ? defaultValue : value;
  }

  @Override
  public @Nullable Short getShort(CharSequence name) {
    Integer value = getInt(name);
    return value == null || value != value.shortValue() ? null : value.shortValue();
  }

  @Override
  public short getShort(CharSequence name, short defaultValue) {
    Short value = getShort(name);
    return value == null ? defaultValue : value;
  }

  @Override
  public @Nullable Long getTimeMillis(CharSequence name) {
    String value = get(name);
    try {
      return value == null
          ? null
          : Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(value)).toEpochMilli();
    } catch (DateTimeException e) {
      // As documented, a value that is no date counts as missing.
      return null;
    }
  }

  @Override
  public long getTimeMillis(CharSequence name, long defaultValue) {
    Long value = getTimeMillis(name);
    return value == null ? defaultValue : value;
  }

  @Override
  public List<Map.Entry<String, String>> entries() {
    List<Map.Entry<String, String>> entries = new ArrayList<>(count);
    forEach(entries::add);
    return entries;
  }

  @Override
  @SuppressWarnings("deprecation") // Required by the library, and for loops over all headers.
  public Iterator<Map.Entry<String, String>> iterator() {
    return new EntryIterator<>(at -> Map.entry(toString(nameAt(at)), toString(valueAt(at))));
  }

  @Override
  public Iterator<Map.Entry<CharSequence, CharSequence>> iteratorCharSequence() {
    return new EntryIterator<>(at -> Map.entry(nameAt(at), valueAt(at)));
  }

  @Override
  public boolean isEmpty() {
    return count == 0;
  }

  @Override
  public int size() {
    return count;
  }

  @Override
  public Set<String> names() {
    Set<String> names = new LinkedHashSet<>();
    forEach(entry -> names.add(entry.getKey()));
    return names;
  }

  /** Iterates over the headers, which must not be changed meanwhile. */
  private final class EntryIterator<T> implements Iterator<T> {
    private final IntFunction<T> entryAt;
    private int at;

    EntryIterator(IntFunction<T> entryAt) {
      this.entryAt = entryAt;
    }

    @Override
    public boolean hasNext() {
      return at < end;
    }

    @Override
    public T next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      T entry = entryAt.apply(at);
      at = nextAfter(at);
      return entry;
    }
  }
}
