"""A submission that is sound by the protocol is accepted and runs, however its author spells it."""

#: The body that was refused; team and machine type are those of the simulated deployment.
REFUSED_BODY = (
    b'{"apart":false,"bundle":"img-102","cores":5.0,"due_s":null,'
    b'"expect_s":0.000000000000000000000000000000000000000000000000000000000001,"gpus":1.0,"harbor":null,'
    b'"hulls":["m4"],"image_gb":0.1,"jobclass":"curve-fit","loaned":true,"mark_s":0.0,"one_zone":false,'
    b'"owner":"red","pieces":3,"ram_gb":18.0,"rank":"standard","ref":"req-977276","shape":"batch","stow_s":0.0}'
)


def test_sound_job_whose_estimate_is_tiny_is_accepted_by_every_controller_and_done(sim):
    cluster = sim(machines=6)
    replies = []
    for name in cluster.names:
        cluster.time.spawn(lambda name=name: replies.append(cluster.ask(name, "POST", "/work", REFUSED_BODY)))
        cluster.run(1.0)
    assert [status for status, _ in replies] == [201, 200, 200], replies
    cluster.run(20.0)
    cluster.time.spawn(lambda: replies.append(cluster.ask("n1", "GET", "/work/req-977276")))
    cluster.run(1.0)
    assert replies[-1] == (200, {"ref": "req-977276", "status": "done", "done": 3, "running": 0})
