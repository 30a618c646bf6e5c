package org.sageladder.entry.exchange;

import java.util.Set;
import org.apache.hc.core5.http.EntityDetails;
import org.jspecify.annotations.Nullable;

/**
 * Length, type and encoding of a body that is forwarded while it arrives.
 *
 * @param length bytes, or -1 if the sender did not state it; such a body is sent in chunks
 */
public record ForwardedEntity(long length, @Nullable String type, @Nullable String encoding)
    implements EntityDetails {

  /** The same length, type and encoding as {@code details}; null if that is null. */
  public static @Nullable ForwardedEntity of(@Nullable EntityDetails details) {
    return details == null
        ? null
        : new ForwardedEntity(
            details.getContentLength(), details.getContentType(), details.getContentEncoding());
  }

  @Override
  public long getContentLength() {
    return length;
  }

  @Override
  public @Nullable String getContentType() {
    return type;
  }

  @Override
  public @Nullable String getContentEncoding() {
    return encoding;
  }

  @Override
  public boolean isChunked() {
    return length < 0;
  }

  @Override
  public Set<String> getTrailerNames() {
    return Set.of();
  }
}
