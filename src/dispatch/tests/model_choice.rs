use crate::dispatch::model_choice::{ModelDemand, choose_model};

fn demand(model: &str, holders: usize, load: u32) -> ModelDemand {
    ModelDemand {
        model: model.parse().unwrap(),
        holders,
        load,
    }
}

/// Guards against a model that is on no target any more, because all empty targets load the busiest
/// one or the same missing one.
#[yare::parameterized(
    missing_goes_before_busy = {&[("a", 3, 90), ("b", 0, 0)], 0, "b"},
    each_owner_takes_another = {&[("a", 0, 0), ("b", 0, 0)], 1, "b"},
    busiest_per_target = {&[("a", 3, 30), ("b", 1, 20)], 0, "b"},
    first_of_equals = {&[("a", 1, 0), ("b", 1, 0)], 0, "a"},
    more_empty_targets_than_missing_models = {&[("a", 2, 1), ("b", 0, 0)], 1, "a"},
    nothing_held_and_more_targets_than_models = {&[("a", 0, 0), ("b", 0, 0)], 5, "a"},
    only_one = {&[("a", 0, 0)], 0, "a"}
)]
fn model_to_load(models: &[(&str, usize, u32)], before: usize, expected: &str) {
    let models = models.iter();
    let models = models.map(|(model, holders, load)| demand(model, *holders, *load));
    let chosen = choose_model(models.collect(), before).unwrap();
    assert_eq!(chosen.as_str(), expected);
}
