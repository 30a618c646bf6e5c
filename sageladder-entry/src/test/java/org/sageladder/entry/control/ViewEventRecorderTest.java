package org.sageladder.entry.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sageladder.core.membership.ClusterState;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.ZoneView;

class ViewEventRecorderTest {
  private final List<String> recorded = new ArrayList<>();
  private final ViewEventRecorder recorder =
      ViewEventRecorder.of(
          "a",
          "z",
          "c",
          (kind, request, contract, subject, revision, detail) ->
              recorded.add(kind + " " + subject + " " + revision));

  // Only the numbers of views used to be recorded. After a drain, the timeline then did not show
  // when the gate had stopped sending requests to the target.
  @Test
  void eachChangeOfTheZoneViewIsRecordedOnce() {
    applyView(1, List.of("a"), holding("t1", "a", false), holding("t2", "a", false));
    applyView(2, List.of("a", "b"), holding("t1", "a", true), holding("t2", "b", false));
    applyView(2, List.of("a", "b"), holding("t1", "a", true), holding("t2", "b", false));
    applyView(3, List.of("a"), holding("t2", "a", false));

    assertEquals(
        List.of(
            "MEMBER_JOINED a 1",
            "TARGET_HELD t1 1",
            "TARGET_HELD t2 1",
            "MEMBER_JOINED b 2",
            "TARGET_LEAVING t1 2",
            "TARGET_GIVEN_UP t2 2",
            "MEMBER_LEFT b 3",
            "TARGET_HELD t2 3",
            "TARGET_GIVEN_UP t1 3"),
        recorded);
  }

  private void applyView(long number, List<String> members, Holding... holdings) {
    List<Member> viewMembers =
        members.stream().map(vm -> new Member(vm, "z", 1, "127.0.0.1", 1, 2, false)).toList();
    ZoneView view = new ZoneView("z", number, viewMembers, List.of(holdings));
    recorder.accept(new ClusterState(Map.of(), Map.of("z", view), List.of()));
  }

  private static Holding holding(String target, String holder, boolean isDraining) {
    return new Holding(target, "c", "s", "127.0.0.1", 1, 1, holder, 3, isDraining);
  }
}
