package org.guavagw.internal.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Collects the decisions of one request. Confined to the thread that handles the request; handed
 * over with the request.
 *
 * <p>Keeps at most {@value #MAX_ENTRIES_PER_LIST} candidates, cascade steps and attempts each;
 * later ones are dropped.
 */
public final class DecisionTrace {
  private static final int MAX_ENTRIES_PER_LIST = 1_000;

  private final List<Candidate> candidates = new ArrayList<>();
  private final List<CascadeStepRecord> cascadeSteps = new ArrayList<>();
  private final List<AttemptRecord> attempts = new ArrayList<>();
  private final String requestId;
  private final Instant time;
  private String team = "";
  private String taskClass = "";
  private String billId = "";
  private long configRevision;

  public DecisionTrace(String requestId, Instant time) {
    this.requestId = requestId;
    this.time = time;
  }

  /** Returns the id of the request. */
  public String requestId() {
    return requestId;
  }

  /** Sets the authenticated team. */
  public void team(String id) {
    team = id;
  }

  /** Sets the task class, model or service that the caller requested. */
  public void taskClass(String name) {
    taskClass = name;
  }

  /** Records that a decision used a revision of the configuration. */
  public void usedRevision(long revision) {
    configRevision = Math.max(configRevision, revision);
  }

  /** Sets the id of the request's bill. */
  public void bill(String id) {
    billId = id;
  }

  /** Records that a candidate was chosen. */
  public void chose(CandidateKind kind, String id) {
    add(candidates, Candidate.chosen(kind, id));
  }

  /** Records that a rule excluded a candidate. */
  public void excluded(CandidateKind kind, String id, ExclusionRule rule) {
    add(candidates, Candidate.excluded(kind, id, rule));
  }

  /** Records a finished cascade step. */
  public void step(CascadeStepRecord step) {
    add(cascadeSteps, step);
  }

  /** Records a finished attempt. */
  public void attempt(AttemptRecord attempt) {
    add(attempts, attempt);
  }

  /** Returns the record of the finished request. */
  public DecisionRecord finish(String outcome) {
    return new DecisionRecord(
        requestId,
        time,
        team,
        taskClass,
        configRevision,
        candidates,
        cascadeSteps,
        attempts,
        outcome,
        Optional.of(billId).filter(id -> !id.isEmpty()));
  }

  private static <T> void add(List<T> list, T entry) {
    if (list.size() < MAX_ENTRIES_PER_LIST) {
      list.add(entry);
    }
  }
}
