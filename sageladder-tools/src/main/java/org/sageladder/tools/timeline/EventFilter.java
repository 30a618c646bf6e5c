package org.sageladder.tools.timeline;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.sageladder.core.event.Event;

/** Event filters, as predicates that can be combined with {@code and}. */
public final class EventFilter {
  private EventFilter() {}

  /** Accepts every event. */
  public static Predicate<Event> all() {
    return event -> true;
  }

  /** Accepts events about that request, including those that name it as their subject. */
  public static Predicate<Event> request(String id) {
    return event -> event.request().equals(id) || event.subject().equals(id);
  }

  /** Accepts events about that customer's contract. */
  public static Predicate<Event> contract(String customer) {
    return event -> event.contract().equals(customer);
  }

  /** Accepts events about that target, peer, zone or key. */
  public static Predicate<Event> subject(String name) {
    return event -> event.subject().equals(name);
  }

  /** Accepts events about that revision, view number or permit sequence. */
  public static Predicate<Event> revision(long number) {
    return event -> event.revision() == number;
  }

  /** Combines the filters whose value is not null. */
  public static Predicate<Event> of(
      @Nullable String request,
      @Nullable String contract,
      @Nullable String subject,
      @Nullable Long revision) {
    Predicate<Event> filter = all();
    if (request != null) {
      filter = filter.and(request(request));
    }
    if (contract != null) {
      filter = filter.and(contract(contract));
    }
    if (subject != null) {
      filter = filter.and(subject(subject));
    }
    if (revision != null) {
      filter = filter.and(revision(revision));
    }
    return filter;
  }
}
