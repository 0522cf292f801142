package io.masticfold.entry.http;

import io.masticfold.core.limit.AdmissionTicket;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.time.TimeSource;

/** Completes the admission ticket of a request and records whether it was answered within its window. */
final class RequestOutcomeRecorder implements RequestOutcomeListener {

    private final AdmissionTicket ticket;
    private final Attainment attainment;
    private final TimeSource time;

    RequestOutcomeRecorder(AdmissionTicket ticket, Attainment attainment, TimeSource time) {
        this.ticket = ticket;
        this.attainment = attainment;
        this.time = time;
    }

    @Override
    public void completed(PipelineRequest request, PipelineResult _result) {
        ticket.completed();
        attainment.recordResponse(request.contract(), !request.deadline().expired(time));
    }

    @Override
    public void failed(PipelineRequest request, RequestFailure failure) {
        ticket.failed(failure.kind());
        attainment.recordResponse(request.contract(), false);
    }
}
