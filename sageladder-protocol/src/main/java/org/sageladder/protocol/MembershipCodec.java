package org.sageladder.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.sageladder.core.membership.Heartbeat;
import org.sageladder.core.membership.Holding;
import org.sageladder.core.membership.Member;
import org.sageladder.core.membership.RelayedView;
import org.sageladder.core.membership.TargetReport;
import org.sageladder.core.membership.ZoneSummary;
import org.sageladder.core.membership.ZoneView;
import org.sageladder.protocol.ProtocolException.Reason;
import org.sageladder.protocol.generated.Inner;

/** Encodes heartbeats, views and zone reports as protobuf messages and decodes them. */
public final class MembershipCodec {
  private MembershipCodec() {}

  /** Encodes a view as an item's payload. */
  public static byte[] encode(RelayedView relayed) {
    ZoneView view = relayed.view();
    Inner.View.Builder builder =
        Inner.View.newBuilder()
            .setZone(view.zone())
            .setNumber(view.number())
            .setRelay(relayed.relay());
    view.members().forEach(member -> builder.addMembers(encode(member)));
    view.holdings().forEach(holding -> builder.addHoldings(encode(holding)));
    for (RelayedView.Withheld withheld : relayed.withheld()) {
      builder.addWithheld(
          Inner.Withheld.newBuilder()
              .setTarget(withheld.target())
              .setHolder(withheld.formerHolder())
              .setIncarnation(withheld.incarnation())
              .setViewNumber(withheld.releaseViewNumber())
              .setSilent(withheld.isSilent()));
    }
    return builder.build().toByteArray();
  }

  /** Decodes the view in an item's payload. */
  public static RelayedView decodeView(byte[] payload) throws ProtocolException {
    Inner.View view;
    try {
      view = Inner.View.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a zone view: " + e.getMessage());
    }
    List<Member> members = view.getMembersList().stream().map(MembershipCodec::decode).toList();
    List<Holding> holdings = view.getHoldingsList().stream().map(MembershipCodec::decode).toList();
    List<RelayedView.Withheld> withheld =
        view.getWithheldList().stream()
            .map(
                entry ->
                    new RelayedView.Withheld(
                        entry.getTarget(),
                        entry.getHolder(),
                        entry.getIncarnation(),
                        entry.getViewNumber(),
                        entry.getSilent()))
            .toList();
    ZoneView zoneView = new ZoneView(view.getZone(), view.getNumber(), members, holdings);
    return new RelayedView(zoneView, view.getRelay(), withheld);
  }

  /** Encodes a zone's report as an item's payload. */
  public static byte[] encode(ZoneReport report) {
    Inner.ZoneReport.Builder builder =
        Inner.ZoneReport.newBuilder()
            .setZone(report.zone())
            .setCustomer(report.customer())
            .setTakenAtMillis(report.takenAtMillis())
            .setMembers(report.memberCount())
            .setLowestRevision(report.lowestRevision())
            .addAllLagging(report.laggingVms());
    report.summaries().forEach(summary -> builder.addSummaries(encode(summary)));
    return builder.build().toByteArray();
  }

  /** Decodes the zone report in an item's payload. */
  public static ZoneReport decodeReport(byte[] payload) throws ProtocolException {
    Inner.ZoneReport report;
    try {
      report = Inner.ZoneReport.parseFrom(payload);
    } catch (InvalidProtocolBufferException e) {
      throw new ProtocolException(Reason.MALFORMED, "not a zone report: " + e.getMessage());
    }
    return new ZoneReport(
        report.getZone(),
        report.getCustomer(),
        report.getTakenAtMillis(),
        report.getSummariesList().stream()
            .map(
                summary ->
                    decode(
                        summary, report.getZone(), report.getCustomer(), report.getTakenAtMillis()))
            .toList(),
        report.getMembers(),
        report.getLowestRevision(),
        report.getLaggingList());
  }

  static Inner.Heartbeat encode(Heartbeat heartbeat) {
    Inner.Heartbeat.Builder builder =
        Inner.Heartbeat.newBuilder()
            .setSender(encode(heartbeat.sender()))
            .setSentNanos(heartbeat.sentNanos())
            .setViewNumber(heartbeat.viewNumber())
            .setContractRevision(heartbeat.contractRevision());
    for (TargetReport report : heartbeat.targetReports()) {
      builder.addReports(
          Inner.TargetReport.newBuilder()
              .setTarget(report.target())
              .setIncarnation(report.targetIncarnation())
              .setLeaving(report.isDraining())
              .setInFlight(report.inFlight())
              .setLoadAgrees(report.loadMatchesInFlight()));
    }
    heartbeat.summaries().forEach(summary -> builder.addSummaries(encode(summary)));
    return builder.build();
  }

  static Heartbeat decode(Inner.Heartbeat heartbeat) {
    Member sender = decode(heartbeat.getSender());
    return new Heartbeat(
        sender,
        heartbeat.getSentNanos(),
        heartbeat.getViewNumber(),
        heartbeat.getContractRevision(),
        heartbeat.getReportsList().stream()
            .map(
                report ->
                    new TargetReport(
                        report.getTarget(),
                        report.getIncarnation(),
                        report.getLeaving(),
                        report.getInFlight(),
                        report.getLoadAgrees()))
            .toList(),
        heartbeat.getSummariesList().stream()
            .map(summary -> decode(summary, sender.zone(), "", 0))
            .toList());
  }

  private static Inner.Member encode(Member member) {
    return Inner.Member.newBuilder()
        .setVm(member.vm())
        .setZone(member.zone())
        .setIncarnation(member.incarnation())
        .setHost(member.host())
        .setPort(member.port())
        .setInnerPort(member.innerPort())
        .setLeaving(member.isDraining())
        .build();
  }

  private static Member decode(Inner.Member member) {
    return new Member(
        member.getVm(),
        member.getZone(),
        member.getIncarnation(),
        member.getHost(),
        member.getPort(),
        member.getInnerPort(),
        member.getLeaving());
  }

  private static Inner.Holding encode(Holding holding) {
    return Inner.Holding.newBuilder()
        .setTarget(holding.target())
        .setCustomer(holding.customer())
        .setService(holding.service())
        .setHost(holding.host())
        .setPort(holding.port())
        .setTargetIncarnation(holding.targetIncarnation())
        .setHolder(holding.holder())
        .setSlots(holding.slots())
        .setLeaving(holding.isDraining())
        .build();
  }

  private static Holding decode(Inner.Holding holding) {
    return new Holding(
        holding.getTarget(),
        holding.getCustomer(),
        holding.getService(),
        holding.getHost(),
        holding.getPort(),
        holding.getTargetIncarnation(),
        holding.getHolder(),
        holding.getSlots(),
        holding.getLeaving());
  }

  private static Inner.ServiceSummary encode(ZoneSummary summary) {
    return Inner.ServiceSummary.newBuilder()
        .setService(summary.service())
        .setSlots(summary.slots())
        .setBusy(summary.busy())
        .setQueued(summary.queued())
        .setAdmittedPerSecond((float) summary.admittedPerSecond())
        .setCeilingPerSecond((float) summary.ceilingPerSecond())
        .setDemandPerSecond((float) summary.demandPerSecond())
        .build();
  }

  private static ZoneSummary decode(
      Inner.ServiceSummary summary, String zone, String customer, long takenAtMillis) {
    return new ZoneSummary(
        zone,
        customer,
        summary.getService(),
        takenAtMillis,
        summary.getSlots(),
        summary.getBusy(),
        summary.getQueued(),
        summary.getAdmittedPerSecond(),
        summary.getCeilingPerSecond(),
        summary.getDemandPerSecond());
  }
}
