package org.guavagw.internal.cascade;

import java.util.List;

/**
 * Optimal decisions in a cascade for a given price of quality, computed by backward induction over
 * its steps.
 *
 * <p>The value of an answer is the price times its rating; the value of a step is the expected
 * value of the answer that is sent if the step is taken, less the cost of this and later steps.
 * Immutable and thread-safe.
 */
final class CascadeTable {
  /** Index that stands for no step. */
  static final int NONE = -1;

  private final List<StepModel> models;
  private final double[] costs;
  private final boolean[] usable;
  private final double ratedShare;
  private final double price;
  private final Node[][] nodes;
  private final int[][] next;

  private CascadeTable(
      List<StepModel> models, double[] costs, boolean[] usable, double ratedShare, double price) {
    this.models = models;
    this.costs = costs;
    this.usable = usable;
    this.ratedShare = ratedShare;
    this.price = price;
    this.nodes = new Node[models.size()][AnswerContext.COUNT];
    this.next = new int[models.size()][AnswerContext.COUNT];
  }

  /** Computes the table; costs include the cost of latency. */
  static CascadeTable solve(
      List<StepModel> models, double[] costs, boolean[] usable, double ratedShare, double price) {
    CascadeTable table = new CascadeTable(models, costs, usable, ratedShare, price);
    for (int step = models.size() - 1; step >= 0; step--) {
      table.solve(step);
    }
    return table;
  }

  /** Returns the best step to start with, or {@link #NONE} if no step is usable. */
  int start() {
    return best(0, AnswerContext.FIRST);
  }

  /**
   * Returns the best step after an answer of this quality, or {@link #NONE} if accepting the answer
   * is best.
   */
  int afterAnswer(int step, double quality) {
    int best = next[step][AnswerContext.after(quality).index()];
    if (best == NONE) {
      return NONE;
    }
    boolean accepts = price * quality >= node(best, AnswerContext.after(quality)).value();
    return accepts ? NONE : best;
  }

  /** Returns the next usable step, whether or not it is worth its cost. */
  int nextUsable(int step) {
    for (int i = step + 1; i < usable.length; i++) {
      if (usable[i]) {
        return i;
      }
    }
    return NONE;
  }

  /** Returns the expectations for a step in a context. */
  Node node(int step, AnswerContext context) {
    return nodes[step][context.index()];
  }

  private void solve(int step) {
    for (int c = 1; c < AnswerContext.COUNT; c++) {
      next[step][c] = best(step + 1, new AnswerContext(c));
    }
    for (int c = 0; c < AnswerContext.COUNT; c++) {
      nodes[step][c] = solveNode(step, c);
    }
  }

  private int best(int from, AnswerContext context) {
    int best = NONE;
    for (int i = from; i < usable.length; i++) {
      if (usable[i] && (best == NONE || value(i, context) > value(best, context))) {
        best = i;
      }
    }
    return best;
  }

  private double value(int step, AnswerContext context) {
    return nodes[step][context.index()].value();
  }

  private Node solveNode(int step, int context) {
    StepModel model = models.get(step);
    double mean = model.means()[context];
    if (nextUsable(step) == NONE) {
      return new Node(price * mean - costs[step], mean, 1);
    }
    OutcomeSums outcomes = new OutcomeSums();
    double[] shares = model.shares()[context];
    for (int bin = 0; bin < shares.length; bin++) {
      addBin(outcomes, step, bin, shares[bin] * ratedShare);
    }
    addUnrated(outcomes, step, mean);
    return new Node(outcomes.value - costs[step], outcomes.quality, outcomes.accepted);
  }

  /**
   * Adds one rating bin. Ratings are spread evenly over the bin; those above the threshold are
   * accepted.
   */
  private void addBin(OutcomeSums outcomes, int step, int bin, double share) {
    double middle = RatingBins.middle(bin);
    Node escalationNode = escalationNode(step, middle);
    double threshold = escalationNode.value() / price;
    double above = (RatingBins.low(bin) + RatingBins.WIDTH - threshold) / RatingBins.WIDTH;
    double accepted = Math.max(0, Math.min(1, above));
    double acceptedMean = middle + (1 - accepted) * RatingBins.WIDTH / 2;
    outcomes.accept(share * accepted, acceptedMean, price);
    outcomes.escalate(share * (1 - accepted), escalationNode);
  }

  private void addUnrated(OutcomeSums outcomes, int step, double mean) {
    EngineSignalModel signals = models.get(step).signals();
    if (!signals.isKnown()) {
      addPoint(outcomes, step, mean, 1 - ratedShare);
      return;
    }
    for (int bin = 0; bin < signals.shares().length; bin++) {
      if (signals.shares()[bin] > 0) {
        addPoint(outcomes, step, signals.means()[bin], (1 - ratedShare) * signals.shares()[bin]);
      }
    }
  }

  private void addPoint(OutcomeSums outcomes, int step, double quality, double share) {
    Node escalationNode = escalationNode(step, quality);
    if (price * quality >= escalationNode.value()) {
      outcomes.accept(share, quality, price);
    } else {
      outcomes.escalate(share, escalationNode);
    }
  }

  private Node escalationNode(int step, double quality) {
    AnswerContext context = AnswerContext.after(quality);
    return node(next[step][context.index()], context);
  }

  /**
   * Expected result of taking a step. Immutable.
   *
   * @param value price times quality, less the cost of this and later steps
   * @param quality mean rating of the answer that is sent
   * @param accepted probability that this step's own answer is sent
   */
  record Node(double value, double quality, double accepted) {}

  /** Weighted sums over the possible ratings of an answer. Not thread-safe. */
  private static final class OutcomeSums {
    private double value;
    private double quality;
    private double accepted;

    void accept(double share, double rating, double price) {
      value += share * price * rating;
      quality += share * rating;
      accepted += share;
    }

    void escalate(double share, Node escalationNode) {
      value += share * escalationNode.value();
      quality += share * escalationNode.quality();
    }
  }
}
